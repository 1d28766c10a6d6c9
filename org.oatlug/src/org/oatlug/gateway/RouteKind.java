// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How often a request of a route may run, and how its answer arrives. Immutable. */
public enum RouteKind {
  /** May run more than once. */
  @JsonProperty("repeatable")
  REPEATABLE,
  /** Runs at most once for each attempt of a caller. */
  @JsonProperty("at-most-once")
  AT_MOST_ONCE,
  /** Answers with a stream of events. */
  @JsonProperty("stream")
  STREAM
}
