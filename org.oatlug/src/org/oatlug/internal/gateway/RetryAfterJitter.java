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
 * Computes retry delays for refused callers and adds jitter to them.
 *
 * <p>Load pattern: when upstreams asked to back off, every caller that was refused meanwhile learns
 * the same end of the back-off. If all callers retried at that time, the upstreams would refuse
 * them again. Used from one event loop.
 */
final class RetryAfterJitter {
  /** Maximum jitter as a share of the delay. */
  private static final double JITTER_SHARE = 0.5;

  /** Minimum range of the jitter: about the time until a connection becomes free. */
  private static final Duration MINIMUM_JITTER = Duration.ofMillis(300);

  /** Maximum spaced delay; callers would rarely wait longer. */
  private static final Duration MAXIMUM_SPACED_DELAY = Duration.ofSeconds(5);

  private final RandomGenerator random;
  private final IntSupplier instances;
  private final Map<String, Instant> lastRetryTimes = new HashMap<>();

  private RetryAfterJitter(RandomGenerator random, IntSupplier instances) {
    this.random = random;
    this.instances = instances;
  }

  /**
   * Returns a source of retry delays that uses the random generator.
   *
   * @param instances supplies the number of instances that refuse callers at the same time
   */
  static RetryAfterJitter create(RandomGenerator random, IntSupplier instances) {
    return new RetryAfterJitter(random, instances);
  }

  /**
   * Returns a delay that spaces the retries of callers, so that over all instances they arrive at
   * the rate that the upstreams of the service accept.
   *
   * @param perSecond the rate that the upstreams accept, in requests per second
   */
  Duration spacedDelay(String service, double perSecond, Instant now) {
    double instanceRate =
        Math.max(SharedRateLimit.PROBES_PER_SECOND, perSecond) / Math.max(1, instances.getAsInt());
    Duration interval = Duration.ofMillis((long) (1000 / instanceRate));
    Instant earliest = now.plus(MINIMUM_JITTER);
    Instant nextRetryTime = lastRetryTimes.getOrDefault(service, Instant.EPOCH).plus(interval);
    boolean isInRange =
        !nextRetryTime.isBefore(earliest) && !nextRetryTime.isAfter(now.plus(MAXIMUM_SPACED_DELAY));
    Instant retryTime = isInRange ? nextRetryTime : earliest.plus(randomDelay(interval));
    lastRetryTimes.put(service, retryTime);
    return Duration.between(now, retryTime);
  }

  private Duration randomDelay(Duration interval) {
    long maximumMillis =
        Math.min(interval.toMillis(), MAXIMUM_SPACED_DELAY.minus(MINIMUM_JITTER).toMillis());
    return Duration.ofMillis((long) (random.nextDouble() * maximumMillis));
  }

  /** Returns the delay plus jitter, never less than the delay. */
  Duration withJitter(Duration delay) {
    long proportional = (long) (delay.toMillis() * JITTER_SHARE);
    long jitterMillis = Math.max(MINIMUM_JITTER.toMillis(), proportional);
    return delay.plusMillis((long) (random.nextDouble() * jitterMillis));
  }
}
