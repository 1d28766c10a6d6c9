// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.api;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * States whether a refused request is known not to have run.
 *
 * <p>{@link #YES} is used only if no byte was sent to any upstream, or if an upstream refused whose
 * configuration marks its refusals as trusted. Immutable.
 */
public enum NotRun {
  /** The request did not run and will not run. */
  @JsonProperty("yes")
  YES,
  /** The request ran. */
  @JsonProperty("no")
  NO,
  /** The request may have run. */
  @JsonProperty("unknown")
  UNKNOWN;

  /** Returns the text used in responses: {@code yes}, {@code no} or {@code unknown}. */
  public String text() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
