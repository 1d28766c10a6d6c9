// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits a rate, with a burst of one second.
 *
 * <p>Invariant: within any span at most rate times span plus one burst is taken. Owned by one event
 * loop, not thread-safe.
 */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  /** A bucket is rested once this many tokens more than it holds would have been added. */
  private static final double RESTED_TOKENS = 3;

  private double tokens;
  private Instant refilledAt;

  private TokenBucket(double tokens, Instant refilledAt) {
    this.tokens = tokens;
    this.refilledAt = refilledAt;
  }

  /** Returns a full bucket that was last used at {@code now}. */
  public static TokenBucket full(double rate, Instant now) {
    return new TokenBucket(burst(rate), now);
  }

  /** Refills the bucket at {@code rate} tokens a second and takes one; returns whether it could. */
  public boolean take(double rate, Instant now) {
    return take(rate, now, 0);
  }

  /**
   * Does the same, but takes {@code extra} tokens in addition from a rested bucket. With random
   * numbers, buckets of different instances that are used at the same time do not stay in phase.
   */
  boolean take(double rate, Instant now, double extra) {
    double seconds = Duration.between(refilledAt, now).toNanos() / NANOS_PER_SECOND;
    double refilled = tokens + seconds * rate;
    tokens = Math.min(burst(rate), refilled);
    refilledAt = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= refilled >= burst(rate) + RESTED_TOKENS ? 1 + extra : 1;
    return true;
  }

  /** Returns the time until the next token is available. */
  public Duration untilNext(double rate) {
    double missing = Math.max(0, 1 - tokens);
    return Duration.ofNanos((long) (missing / rate * NANOS_PER_SECOND));
  }

  private static double burst(double rate) {
    return Math.max(1, rate);
  }
}
