// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Signals invalid command-line arguments. Immutable. */
public final class UsageException extends OatlugException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param problem a description of the problem
   */
  public UsageException(String problem) {
    super(ErrorText.format(ErrorText.get().usage, problem));
  }
}
