// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.api;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The life of a version; a withdrawn version never comes back under its name. Immutable. */
public enum VersionState {
  /** Receives only the share that a roll-out gives it. */
  @JsonProperty("candidate")
  CANDIDATE,
  /** Receives new sessions. */
  @JsonProperty("current")
  CURRENT,
  /** Serves only the sessions that it has. */
  @JsonProperty("retiring")
  RETIRING,
  /** Receives nothing. */
  @JsonProperty("withdrawn")
  WITHDRAWN
}
