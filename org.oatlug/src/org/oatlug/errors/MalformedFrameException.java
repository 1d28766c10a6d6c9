// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Bytes from a peer that are no frame of the protocol. Immutable. */
public final class MalformedFrameException extends OatlugException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the failure.
   *
   * @param problem what is wrong
   */
  public MalformedFrameException(String problem) {
    super(ErrorText.format(ErrorText.get().malformedFrame, problem));
  }
}
