// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** A call that the platform refused because its rate is used up; it had no effect. Immutable. */
public final class PlatformBusyException extends OatlugException {
  private static final long serialVersionUID = 1L;

  private final String operation;

  /**
   * Creates the failure.
   *
   * @param operation the refused call
   */
  public PlatformBusyException(String operation) {
    super(ErrorText.format(ErrorText.get().platformBusy, operation));
    this.operation = operation;
  }

  /** Returns the refused call. */
  public String operation() {
    return operation;
  }
}
