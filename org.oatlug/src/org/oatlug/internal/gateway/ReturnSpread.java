// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.oatlug.internal.limit.SharedRateLimit;

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

  /** The latest moment that callers are told: one they would hardly wait for. */
  private static final Duration LONGEST_PACED = Duration.ofSeconds(5);

  private final RandomGenerator random;
  private final IntSupplier instances;
  private final Map<String, Instant> lastPaced = new HashMap<>();

  private ReturnSpread(RandomGenerator random, IntSupplier instances) {
    this.random = random;
    this.instances = instances;
  }

  /**
   * Returns a spread that draws from the source of chance.
   *
   * @param instances how many instances refuse callers alike
   */
  static ReturnSpread by(RandomGenerator random, IntSupplier instances) {
    return new ReturnSpread(random, instances);
  }

  /**
   * Returns a wait so that callers return to all instances together at the rate that the upstreams
   * of the service accept, one after the other.
   *
   * @param perSecond the requests a second that the upstreams accept
   */
  Duration paced(String service, double perSecond, Instant now) {
    double own =
        Math.max(SharedRateLimit.PROBES_PER_SECOND, perSecond) / Math.max(1, instances.getAsInt());
    Duration pause = Duration.ofMillis((long) (1000 / own));
    Instant soonest = now.plus(LEAST_SPREAD);
    Instant next = lastPaced.getOrDefault(service, Instant.EPOCH).plus(pause);
    boolean fits = !next.isBefore(soonest) && !next.isAfter(now.plus(LONGEST_PACED));
    Instant moment = fits ? next : soonest.plus(drawn(pause));
    lastPaced.put(service, moment);
    return Duration.between(now, moment);
  }

  private Duration drawn(Duration pause) {
    long most = Math.min(pause.toMillis(), LONGEST_PACED.minus(LEAST_SPREAD).toMillis());
    return Duration.ofMillis((long) (random.nextDouble() * most));
  }

  /** Returns a moment at or after the end of the wait. */
  Duration after(Duration wait) {
    long share = (long) (wait.toMillis() * SPREAD_SHARE);
    long spread = Math.max(LEAST_SPREAD.toMillis(), share);
    return wait.plusMillis((long) (random.nextDouble() * spread));
  }
}
