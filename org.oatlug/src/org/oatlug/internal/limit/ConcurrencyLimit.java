// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;

/**
 * Finds the number of requests that an instance can handle at once without a standing queue of its
 * own.
 *
 * <p>A delay within the instance, caused by its processor or its link, indicates a standing queue.
 * The limit then falls to a part of what is open, by how far the delay exceeds its bound, and rises
 * while there is none: by a part while the delay is far below its bound, by one request near it.
 *
 * <p>Invariants: the limit is at least {@link #MINIMUM}; it does not fall again before the open
 * requests have fallen below it, because until then the last decrease has had no effect; without a
 * delay there is no limit. Owned by one event loop, not thread-safe.
 */
public final class ConcurrencyLimit {
  /**
   * The least limit: with fewer, an instance whose processor is slow, but not behind, refuses
   * callers because a request passes several slow iterations of its event loop until it is written.
   */
  public static final int MINIMUM = 8;

  /** The limit above which there is none; more connections than an instance handles at once. */
  static final int MAXIMUM = 1024;

  /** The least and the largest part of the open requests that is kept by one decrease. */
  private static final double LEAST_PART = 0.7;

  private static final double LARGEST_PART = 0.9;

  /** The part by which the limit rises, so that it doubles within a second. */
  private static final double INCREASE = 0.1;

  /** A request passes the instance several times until its response begins. */
  private static final int GOAL_PARTS = 8;

  /** A bound below the duration of usual iterations of the event loop would always be exceeded. */
  private static final Duration LEAST_BOUND = Duration.ofMillis(20);

  private static final Duration LARGEST_BOUND = Duration.ofMillis(100);

  private double limit = MAXIMUM;

  private ConcurrencyLimit() {}

  /** Returns a limit that allows everything. */
  public static ConcurrencyLimit create() {
    return new ConcurrencyLimit();
  }

  /**
   * Returns the delay up to which the instance counts as free of a queue.
   *
   * @param shortestGoal the shortest goal of the routes in force, {@link Duration#ZERO} for none
   */
  public static Duration boundFor(Duration shortestGoal) {
    Duration part = shortestGoal.dividedBy(GOAL_PARTS);
    if (part.isZero() || part.compareTo(LARGEST_BOUND) > 0) {
      return LARGEST_BOUND;
    }
    return part.compareTo(LEAST_BOUND) < 0 ? LEAST_BOUND : part;
  }

  /**
   * Adjusts the limit; called at a regular interval.
   *
   * @param delay the minimum delay of the instance over a short time
   * @param bound the delay up to which there is no standing queue
   * @param occupied the number of occupied places
   * @return the limit, {@link Integer#MAX_VALUE} for none
   */
  public int adjust(Duration delay, Duration bound, int occupied) {
    if (delay.compareTo(bound) <= 0) {
      boolean isNear = delay.compareTo(bound.dividedBy(2)) > 0;
      limit = Math.min(MAXIMUM, limit + (isNear ? 1 : Math.max(1, limit * INCREASE)));
    } else if (occupied <= limit) {
      double part = (double) bound.toMillis() / Math.max(1, delay.toMillis());
      limit = occupied * Math.max(LEAST_PART, Math.min(LARGEST_PART, part));
    }
    limit = Math.max(MINIMUM, limit);
    return limit < MAXIMUM ? (int) limit : Integer.MAX_VALUE;
  }
}
