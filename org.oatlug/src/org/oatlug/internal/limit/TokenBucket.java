// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * A rate with a burst of one second.
 *
 * <p>Invariant: over any span at most rate times span plus one burst is taken. Owned by one event
 * loop, not thread-safe.
 */
public final class TokenBucket {
  private static final double NANOS = 1e9;

  private double tokens;
  private Instant last;

  private TokenBucket(double tokens, Instant last) {
    this.tokens = tokens;
    this.last = last;
  }

  /** Returns a full bucket. */
  public static TokenBucket full(double rate, Instant now) {
    return new TokenBucket(burst(rate), now);
  }

  /** Takes one token if there is one at {@code rate} a second. */
  public boolean take(double rate, Instant now) {
    double seconds = Duration.between(last, now).toNanos() / NANOS;
    tokens = Math.min(burst(rate), tokens + seconds * rate);
    last = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Returns how long it takes until there is a token. */
  public Duration untilNext(double rate) {
    double missing = Math.max(0, 1 - tokens);
    return Duration.ofNanos((long) (missing / rate * NANOS));
  }

  private static double burst(double rate) {
    return Math.max(1, rate);
  }
}
