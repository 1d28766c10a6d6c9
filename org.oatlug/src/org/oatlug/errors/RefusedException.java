// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** A request that ends with a typed refusal. Immutable. */
public final class RefusedException extends OatlugException {
  private static final long serialVersionUID = 1L;

  private final transient org.oatlug.api.Refusal refusal;

  /**
   * Creates the failure.
   *
   * @param refusal what the caller is told
   */
  public RefusedException(org.oatlug.api.Refusal refusal) {
    super(refusal.detail());
    this.refusal = refusal;
  }

  /** Returns what the caller is told. */
  public org.oatlug.api.Refusal refusal() {
    return refusal;
  }
}
