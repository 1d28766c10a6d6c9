// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Signals a request that ends with a typed refusal. Immutable. */
public final class RefusedException extends OatlugException {
  private static final long serialVersionUID = 1L;

  private final transient org.oatlug.api.Refusal refusal;

  /**
   * Creates the exception.
   *
   * @param refusal the refusal sent to the caller
   */
  public RefusedException(org.oatlug.api.Refusal refusal) {
    super(refusal.detail());
    this.refusal = refusal;
  }

  /** Returns the refusal sent to the caller. */
  public org.oatlug.api.Refusal refusal() {
    return refusal;
  }
}
