// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Repeatability and response form of the requests of a route. Immutable. */
public enum RouteKind {
  /** A request may be executed more than once. */
  @JsonProperty("repeatable")
  REPEATABLE,
  /** A request is executed at most once per try of the caller. */
  @JsonProperty("at-most-once")
  AT_MOST_ONCE,
  /** The response is a stream of events. */
  @JsonProperty("stream")
  STREAM
}
