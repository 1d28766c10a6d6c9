// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.api;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Whether a refused request is known not to have run.
 *
 * <p>{@link #YES} is only said when no byte was handed to any upstream, or when an upstream whose
 * refusals are trusted by its settings refused. Immutable.
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

  /** Returns the text used in answers: {@code yes}, {@code no} or {@code unknown}. */
  public String text() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
