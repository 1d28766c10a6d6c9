// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Signals a platform call without a response; a write may have taken effect. Immutable. */
public final class PlatformUnavailableException extends OatlugException {
  private static final long serialVersionUID = 1L;

  private final String operation;

  /**
   * Creates the exception.
   *
   * @param operation the name of the call without a response
   * @param cause the failure reported by the transport
   */
  public PlatformUnavailableException(String operation, Throwable cause) {
    super(ErrorText.format(ErrorText.get().platformUnavailable, operation), cause);
    this.operation = operation;
  }

  /** Returns the name of the call without a response. */
  public String operation() {
    return operation;
  }
}
