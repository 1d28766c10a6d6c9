// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** A ledger entry that could not be confirmed; it may still take effect. Immutable. */
public final class LedgerUnavailableException extends OatlugException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the failure.
   *
   * @param cause why, may be null
   */
  public LedgerUnavailableException(Throwable cause) {
    super(ErrorText.get().ledgerUnavailable, cause);
  }
}
