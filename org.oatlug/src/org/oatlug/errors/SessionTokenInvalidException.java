// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Signals a session token that was not signed by a known key. Immutable. */
public final class SessionTokenInvalidException extends OatlugException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param problem a description of the problem
   */
  public SessionTokenInvalidException(String problem) {
    super(ErrorText.format(ErrorText.get().sessionInvalid, problem));
  }
}
