// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

/**
 * The requests that are open, and whether new ones are admitted.
 *
 * <p>As the count nears its bound, requests of low priority are shed first. Owned by one event
 * loop, not thread-safe.
 */
public final class OpenRequests {
  private static final int PRIORITIES = 10;
  private static final double SHED_FROM = 0.7;

  private final int bound;
  private int open;
  private boolean stopping;

  private OpenRequests(int bound) {
    this.bound = bound;
  }

  /** Returns an admission of at most {@code bound} requests at once. */
  public static OpenRequests withBound(int bound) {
    return new OpenRequests(bound);
  }

  /** Whether a request is admitted. */
  public enum Result {
    ADMITTED,
    OVERLOADED,
    STOPPING
  }

  /** Admits a request of a priority from 0 to 9, which then has to be closed, or does not. */
  public Result admit(int priority) {
    if (stopping) {
      return Result.STOPPING;
    }
    double share = SHED_FROM + (1 - SHED_FROM) * (priority + 1) / PRIORITIES;
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

  /** Admits nothing any more. */
  public void stop() {
    stopping = true;
  }

  /** Returns the number of open requests. */
  public int count() {
    return open;
  }
}
