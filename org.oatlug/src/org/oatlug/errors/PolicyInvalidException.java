// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Signals a policy program that does not compile. Immutable. */
public final class PolicyInvalidException extends OatlugException {
  private static final long serialVersionUID = 1L;

  private final int line;
  private final int column;

  /**
   * Creates the exception.
   *
   * @param policy the name of the policy
   * @param line the line, from 1
   * @param column the column, from 1
   * @param problem the compiler's message
   */
  public PolicyInvalidException(String policy, int line, int column, String problem) {
    super(ErrorText.format(ErrorText.get().policyInvalid, policy, line, column, problem));
    this.line = line;
    this.column = column;
  }

  /** Returns the line, from 1. */
  public int line() {
    return line;
  }

  /** Returns the column, from 1. */
  public int column() {
    return column;
  }
}
