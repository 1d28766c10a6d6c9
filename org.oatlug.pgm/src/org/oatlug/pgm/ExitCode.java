// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

/** Exit codes of the {@code oatlug} process. Immutable. */
public enum ExitCode {
  OK(0),
  FAILED(1),
  USAGE(2),
  CONFLICT(3),
  NOT_IN_FORCE(4),
  PLATFORM_UNAVAILABLE(5),
  INVALID(6);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit status of the process. */
  public int number() {
    return number;
  }
}
