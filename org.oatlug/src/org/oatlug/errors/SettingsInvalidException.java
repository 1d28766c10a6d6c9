// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Signals settings that violate their schema. Immutable. */
public final class SettingsInvalidException extends OatlugException {
  private static final long serialVersionUID = 1L;

  private final java.util.List<String> problems;

  /**
   * Creates the exception.
   *
   * @param problems one line per problem, starting with the path of the field
   */
  public SettingsInvalidException(java.util.List<String> problems) {
    super(ErrorText.format(ErrorText.get().settingsInvalid, String.join("; ", problems)));
    this.problems = java.util.List.copyOf(problems);
  }

  /** Returns one line per problem. */
  public java.util.List<String> problems() {
    return problems;
  }
}
