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

  private double tokens;
  private Instant refilledAt;

  private TokenBucket(double tokens, Instant refilledAt) {
    this.tokens = tokens;
    this.refilledAt = refilledAt;
  }

  /** Returns a full bucket. */
  public static TokenBucket full(double rate, Instant now) {
    return new TokenBucket(burst(rate), now);
  }

  /** Refills the bucket at {@code rate} tokens a second and takes one; returns whether it could. */
  public boolean take(double rate, Instant now) {
    double seconds = Duration.between(refilledAt, now).toNanos() / NANOS_PER_SECOND;
    tokens = Math.min(burst(rate), tokens + seconds * rate);
    refilledAt = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
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
