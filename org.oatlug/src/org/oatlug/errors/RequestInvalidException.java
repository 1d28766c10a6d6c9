// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Signals a request that violates the protocol and is not forwarded. Immutable. */
public final class RequestInvalidException extends OatlugException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a description of the problem. */
  public RequestInvalidException(String problem) {
    super(ErrorText.format(ErrorText.get().requestInvalid, problem));
  }
}
