// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/**
 * Signals a response of the store, or a condition of a write, with an epoch before the last restore
 * of the store. Immutable.
 */
public final class EarlierEpochException extends OatlugException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param operation the name of the call
   * @param epoch the epoch of the response or of the condition
   * @param newest the newest known epoch
   */
  public EarlierEpochException(String operation, long epoch, long newest) {
    super(ErrorText.format(ErrorText.get().earlierEpoch, operation, epoch, newest));
  }
}
