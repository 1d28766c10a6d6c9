// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Settings that break their schema. Immutable. */
public final class SettingsInvalidException extends OatlugException {
  private static final long serialVersionUID = 1L;

  private final java.util.List<String> problems;

  /**
   * Creates the failure.
   *
   * @param problems one line a problem, each starting with the path of the field
   */
  public SettingsInvalidException(java.util.List<String> problems) {
    super(ErrorText.format(ErrorText.get().settingsInvalid, String.join("; ", problems)));
    this.problems = java.util.List.copyOf(problems);
  }

  /** Returns one line for each problem. */
  public java.util.List<String> problems() {
    return problems;
  }
}
