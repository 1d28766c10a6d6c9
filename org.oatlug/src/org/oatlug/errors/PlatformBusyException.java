// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Signals a call without effect, rejected by the rate limit of the platform. Immutable. */
public final class PlatformBusyException extends OatlugException {
  private static final long serialVersionUID = 1L;

  private final String operation;

  /**
   * Creates the exception.
   *
   * @param operation the name of the rejected call
   */
  public PlatformBusyException(String operation) {
    super(ErrorText.format(ErrorText.get().platformBusy, operation));
    this.operation = operation;
  }

  /** Returns the name of the rejected call. */
  public String operation() {
    return operation;
  }
}
