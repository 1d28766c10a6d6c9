// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.util.function.DoubleSupplier;

/**
 * Limits retries to a share of first attempts.
 *
 * <p>Invariant: retries never exceed the share of first attempts plus a small reserve, so that
 * retries cannot amplify an overload. Owned by one event loop, not thread-safe.
 */
public final class RetryBudget {
  private static final double SHARE = 0.2;
  private static final double RESERVE = 10;

  private final double share;
  private final DoubleSupplier reserve;
  private double balance;

  private RetryBudget(double share, DoubleSupplier reserve, double balance) {
    this.share = share;
    this.reserve = reserve;
    this.balance = balance;
  }

  /** Returns a budget with a full reserve. */
  public static RetryBudget create() {
    return new RetryBudget(SHARE, () -> RESERVE, RESERVE);
  }

  /**
   * Returns a budget that starts with one retry and earns its reserve by tries.
   *
   * @param share the retries that each try adds
   * @param reserve supplies the current maximum of accumulated retries
   */
  public static RetryBudget earned(double share, DoubleSupplier reserve) {
    return new RetryBudget(share, reserve, 1);
  }

  /** Counts a try, that is, a request of a caller before any retry. */
  public void recordTry() {
    balance = Math.min(reserve.getAsDouble(), balance + share);
  }

  /** Takes a retry from the budget; returns whether it allowed one. */
  public boolean tryAcquireRetry() {
    balance = Math.min(reserve.getAsDouble(), balance);
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
