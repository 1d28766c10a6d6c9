// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.api;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The state of a version; a withdrawn version is never restored under its name. Immutable. */
public enum VersionState {
  /** Receives only the share of new sessions that a roll-out assigns to it. */
  @JsonProperty("candidate")
  CANDIDATE,
  /** Receives new sessions. */
  @JsonProperty("current")
  CURRENT,
  /** Serves only its existing sessions. */
  @JsonProperty("retiring")
  RETIRING,
  /** Receives no requests. */
  @JsonProperty("withdrawn")
  WITHDRAWN
}
