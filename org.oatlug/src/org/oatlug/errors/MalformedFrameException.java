// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Signals bytes from a peer that are not a valid frame. Immutable. */
public final class MalformedFrameException extends OatlugException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param problem a description of the problem
   */
  public MalformedFrameException(String problem) {
    super(ErrorText.format(ErrorText.get().malformedFrame, problem));
  }
}
