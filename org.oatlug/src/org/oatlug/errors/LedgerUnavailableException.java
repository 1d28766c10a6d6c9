// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Signals an unconfirmed ledger entry, which may still take effect. Immutable. */
public final class LedgerUnavailableException extends OatlugException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param cause the cause, may be null
   */
  public LedgerUnavailableException(Throwable cause) {
    super(ErrorText.get().ledgerUnavailable, cause);
  }
}
