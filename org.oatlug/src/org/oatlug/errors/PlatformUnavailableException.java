// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** A call to the platform without an answer; a write may have taken effect. Immutable. */
public final class PlatformUnavailableException extends OatlugException {
  private static final long serialVersionUID = 1L;

  private final String operation;

  /**
   * Creates the failure.
   *
   * @param operation the call that had no answer
   * @param cause what the transport reported
   */
  public PlatformUnavailableException(String operation, Throwable cause) {
    super(ErrorText.format(ErrorText.get().platformUnavailable, operation), cause);
    this.operation = operation;
  }

  /** Returns the call that had no answer. */
  public String operation() {
    return operation;
  }
}
