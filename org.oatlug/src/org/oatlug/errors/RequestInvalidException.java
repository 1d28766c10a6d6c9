// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** A caller's request breaks the protocol; it is not passed on. Immutable. */
public final class RequestInvalidException extends OatlugException {
  private static final long serialVersionUID = 1L;

  /** Returns a failure that names what is wrong. */
  public RequestInvalidException(String problem) {
    super(ErrorText.format(ErrorText.get().requestInvalid, problem));
  }
}
