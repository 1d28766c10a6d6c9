// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.util.function.DoubleSupplier;

/**
 * Allows retries as a share of first tries.
 *
 * <p>Invariant: retries never exceed the share of first tries plus a small reserve, so that retries
 * cannot multiply an overload. Owned by one event loop, not thread-safe.
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

  /** Returns a budget with its reserve. */
  public static RetryBudget create() {
    return new RetryBudget(SHARE, () -> RESERVE, RESERVE);
  }

  /**
   * Returns a budget that begins with one retry; the rest of its reserve is earned by first tries.
   *
   * @param share the retries that each first try adds
   * @param reserve the most retries that are kept for later, asked for anew each time
   */
  public static RetryBudget earned(double share, DoubleSupplier reserve) {
    return new RetryBudget(share, reserve, 1);
  }

  /** Counts a first try. */
  public void firstTry() {
    balance = Math.min(reserve.getAsDouble(), balance + share);
  }

  /** Takes a retry out of the budget, if it allows one. */
  public boolean takeRetry() {
    balance = Math.min(reserve.getAsDouble(), balance);
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
