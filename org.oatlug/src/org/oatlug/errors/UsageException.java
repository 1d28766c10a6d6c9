// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Arguments that a command does not understand. Immutable. */
public final class UsageException extends OatlugException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the failure.
   *
   * @param problem what is wrong
   */
  public UsageException(String problem) {
    super(ErrorText.format(ErrorText.get().usage, problem));
  }
}
