// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Spreads the moments at which refused callers may come back.
 *
 * <p>Load pattern: upstreams that asked for rest take requests again at one moment, and all callers
 * that were refused meanwhile know it. If they all return then, the upstreams refuse again. Used
 * from one event loop.
 */
final class ReturnSpread {
  /** The part of the wait over which returns are spread. */
  private static final double SPREAD_SHARE = 0.5;

  /** The least time over which returns are spread: about that in which a place becomes free. */
  private static final Duration LEAST_SPREAD = Duration.ofMillis(300);

  private final RandomGenerator random;

  private ReturnSpread(RandomGenerator random) {
    this.random = random;
  }

  /** Returns a spread that draws from the source of chance. */
  static ReturnSpread by(RandomGenerator random) {
    return new ReturnSpread(random);
  }

  /** Returns a moment at or after the end of the wait. */
  Duration after(Duration wait) {
    long share = (long) (wait.toMillis() * SPREAD_SHARE);
    long spread = Math.max(LEAST_SPREAD.toMillis(), share);
    return wait.plusMillis((long) (random.nextDouble() * spread));
  }
}
