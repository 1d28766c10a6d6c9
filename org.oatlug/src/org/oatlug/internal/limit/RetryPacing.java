// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.oatlug.internal.util.BoundedMap;

/**
 * Assigns the times at which refused callers may return, one after another, at the rate at which
 * the capacity of their target becomes free at this instance.
 *
 * <p>Load pattern: callers that all get the same delay return together, and most of them are
 * refused again.
 *
 * <p>Invariants: in any second, no more return times are assigned than the target releases in a
 * second, rounded up to a whole number, except to callers whose deadline is earlier: their refusal
 * states the time, which stays free for the next caller, as they cannot return then. No time is
 * assigned twice, and none is closer than half of an interval to another. Memory is bounded. Does
 * no I/O and reads no clock. Owned by one event loop, not thread-safe.
 */
public final class RetryPacing {
  /** The minimum delay of a caller with enough time: about the time until a slot becomes free. */
  static final Duration MINIMUM_DELAY = Duration.ofMillis(300);

  /** Callers honour a delay up to this part of the time that they have left. */
  private static final int TIME_LEFT_DIVISOR = 3;

  /** The time constant of the measured rate, in seconds. */
  private static final double SPAN_SECONDS = 2;

  /** The shortest time over which the first releases are averaged, in seconds. */
  private static final double MINIMUM_SPAN_SECONDS = 0.5;

  /**
   * The rate while too little is measured. It keeps one return time free every two seconds, so that
   * a target without releases is tried again.
   */
  static final double MINIMUM_RATE = 1;

  /** The rate of a target of which nothing was ever released: one in each minimum delay. */
  static final double INITIAL_RATE = 1 / 0.3;

  /** Several times the services of a deployment. */
  private static final int MAXIMUM_TARGETS = 256;

  /** The error of the measured rate, as a share; a rate of 40.01 allows 40 in a second, not 41. */
  private static final double RATE_TOLERANCE = 0.01;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final RandomGenerator random;
  private final Map<String, Target> targets = BoundedMap.withMaximumSize(MAXIMUM_TARGETS);

  /**
   * The return time of a refused caller.
   *
   * @param delay the time until it may return, in whole milliseconds
   * @param perSecond the rate from which it was computed, in releases per second
   */
  public record ReturnTime(Duration delay, double perSecond) {}

  private static final class Target {
    private Instant next = Instant.MIN;
    private Instant firstRelease = Instant.MAX;
    private Instant lastRelease = Instant.MIN;
    private double weight;

    private void release(Instant now) {
      weight = 1 + weightAt(now);
      firstRelease = now.isBefore(firstRelease) ? now : firstRelease;
      lastRelease = now;
    }

    private double weightAt(Instant now) {
      return weight == 0 ? 0 : weight * Math.exp(-seconds(lastRelease, now) / SPAN_SECONDS);
    }

    private double perSecond(Instant now) {
      if (weight == 0) {
        return INITIAL_RATE;
      }
      double span = SPAN_SECONDS * (1 - Math.exp(-seconds(firstRelease, now) / SPAN_SECONDS));
      // On average, half a release belongs to the time after the last one.
      double releases = weightAt(now) - 0.5;
      return Math.max(MINIMUM_RATE, releases / Math.max(MINIMUM_SPAN_SECONDS, span));
    }

    private static double seconds(Instant from, Instant to) {
      return Math.max(0, Duration.between(from, to).toNanos() / NANOS_PER_SECOND);
    }
  }

  private RetryPacing(RandomGenerator random) {
    this.random = random;
  }

  /** Returns a pacing that has assigned no time; the random generator is the source of jitter. */
  public static RetryPacing create(RandomGenerator random) {
    return new RetryPacing(random);
  }

  /** Records that a request of the target was completed, so that its capacity became free. */
  public void recordRelease(String target, Instant now) {
    of(target).release(now);
  }

  /**
   * Assigns the time at which a refused caller may return.
   *
   * @param predictedWait the time before which the target cannot serve it, zero if unknown
   * @param timeLeft the time until the deadline of the caller, negative after it
   */
  public ReturnTime assign(String target, Duration predictedWait, Duration timeLeft, Instant now) {
    Target assigned = of(target);
    double perSecond = assigned.perSecond(now);
    Duration interval = interval(perSecond);
    Duration shortest = shortestDelay(timeLeft);
    Instant earliest = now.plus(predictedWait.compareTo(shortest) > 0 ? predictedWait : shortest);
    Instant time = earliest.isBefore(assigned.next) ? assigned.next : earliest;
    if (!time.isAfter(now.plus(timeLeft))) {
      assigned.next = time.plus(interval);
    }
    // A millisecond less than half, as the delay is rounded up to a millisecond.
    long jitter = Math.max(0, interval.toNanos() / 2 - NANOS_PER_MILLI);
    Duration delay = Duration.between(now, time).plusNanos((long) (random.nextDouble() * jitter));
    return new ReturnTime(
        Duration.ofMillis(delay.plusNanos(NANOS_PER_MILLI - 1).toMillis()), perSecond);
  }

  private Target of(String target) {
    return targets.computeIfAbsent(target, unused -> new Target());
  }

  /** Returns the minimum delay, or a third of the time left if that is shorter. */
  private static Duration shortestDelay(Duration timeLeft) {
    Duration honoured = timeLeft.dividedBy(TIME_LEFT_DIVISOR);
    boolean isShorter =
        !honoured.isNegative() && !honoured.isZero() && honoured.compareTo(MINIMUM_DELAY) < 0;
    return isShorter ? honoured : MINIMUM_DELAY;
  }

  /**
   * Returns the interval between two times. With jitter of up to half of an interval, a second
   * contains at most n of them if the interval is at least 1 / (n - 1/2) seconds.
   */
  private static Duration interval(double perSecond) {
    double most = Math.ceil(perSecond * (1 - RATE_TOLERANCE));
    double seconds = Math.max(1 / perSecond, 1 / (most - 0.5));
    return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
  }
}
