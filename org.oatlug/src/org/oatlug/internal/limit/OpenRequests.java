// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

/**
 * Counts open requests and admits new ones.
 *
 * <p>As the count approaches its bound, requests of low priority are shed first. Owned by one event
 * loop, not thread-safe.
 */
public final class OpenRequests {
  private static final int PRIORITIES = 10;

  /** The share of the bound below which no request is shed. */
  private static final double SHEDDING_SHARE = 0.7;

  private final int bound;
  private int open;
  private boolean stopping;

  private OpenRequests(int bound) {
    this.bound = bound;
  }

  /** Returns a counter that admits at most {@code bound} open requests. */
  public static OpenRequests withBound(int bound) {
    return new OpenRequests(bound);
  }

  /** The result of an admission. */
  public enum Result {
    ADMITTED,
    OVERLOADED,
    STOPPING
  }

  /** Admits or rejects a request of a priority from 0 to 9; an admitted one must be closed. */
  public Result admit(int priority) {
    if (stopping) {
      return Result.STOPPING;
    }
    double share = SHEDDING_SHARE + (1 - SHEDDING_SHARE) * (priority + 1) / PRIORITIES;
    if (open >= bound * share) {
      return Result.OVERLOADED;
    }
    open++;
    return Result.ADMITTED;
  }

  /** Closes an admitted request. */
  public void close() {
    open--;
  }

  /** Stops the admission of requests. */
  public void stop() {
    stopping = true;
  }

  /** Returns the number of open requests. */
  public int count() {
    return open;
  }
}
