// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ConnectTimeoutException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.oatlug.internal.metrics.Meters;

/**
 * Decides whether a timeout is evidence about the other side.
 *
 * <p>While the event loop lags, a timer may fire before the loop has read what arrived in time, and
 * while the link of this instance is full, what was sent in time waits behind other bytes. So a
 * timeout counts only if the delay of this instance since its start is below a quarter of it, as
 * far as probes, the timer itself and connects to different targets show. Refused and reset
 * connections always count. Owned by one event loop, not thread-safe.
 */
public final class TimeoutEvidence implements TimeoutRule {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The part of a timeout that lag may take: what is left is enough for several round trips. */
  private static final int TOLERATED_PART = 4;

  private final EventLoopDelay eventLoopDelay;
  private final ConnectTimes connectTimes;
  private final InstantSource clock;
  private final Meters meters;

  private TimeoutEvidence(
      EventLoopDelay eventLoopDelay,
      ConnectTimes connectTimes,
      InstantSource clock,
      Meters meters) {
    this.eventLoopDelay = eventLoopDelay;
    this.connectTimes = connectTimes;
    this.clock = clock;
    this.meters = meters;
  }

  /** Returns the rule for the timeouts of an event loop. */
  public static TimeoutEvidence create(
      EventLoopDelay eventLoopDelay,
      ConnectTimes connectTimes,
      InstantSource clock,
      Meters meters) {
    return new TimeoutEvidence(eventLoopDelay, connectTimes, clock, meters);
  }

  @Override
  public BooleanSupplier start(Duration timeout) {
    Instant startedAt = clock.instant();
    return () -> counts(startedAt, timeout);
  }

  /**
   * Returns whether the failure to open a connection is evidence; counts it if it is not.
   *
   * @param failure the failure; anything but a connect timeout is evidence
   * @param startedAt the start of the attempt
   * @param timeout the connect timeout
   */
  public boolean counts(Throwable failure, Instant startedAt, Duration timeout) {
    return !(failure instanceof ConnectTimeoutException) || counts(startedAt, timeout);
  }

  /**
   * Returns whether a timeout that has just fired is evidence; counts it if it is not.
   *
   * @param startedAt the start of the time that was limited
   * @param timeout the limit
   */
  public boolean counts(Instant startedAt, Duration timeout) {
    return counts(lagSince(startedAt, startedAt.plus(timeout)), timeout);
  }

  /**
   * Returns whether a timeout is evidence after this lag; counts it if it is not.
   *
   * @param lag the lag since the start of the time that was limited
   * @param timeout the limit
   */
  public boolean counts(Duration lag, Duration timeout) {
    if (lag.compareTo(timeout.dividedBy(TOLERATED_PART)) < 0) {
      return true;
    }
    meters.count("timeout.own-delay");
    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "timeout of %d millis is not counted, own delay=%d millis, connects"
            + " usualMillis=%d delayMillis=%d",
        timeout.toMillis(),
        lag.toMillis(),
        connectTimes.usual().toMillis(),
        connectTimes.currentDelay().toMillis());
    return false;
  }

  /**
   * Returns the delay of this instance since the start of a timeout that has just fired.
   *
   * @param startedAt the start of the time that was limited
   * @param dueAt when the timer should have fired
   */
  public Duration lagSince(Instant startedAt, Instant dueAt) {
    Duration late = Duration.between(dueAt, clock.instant());
    Duration lag = max(late, eventLoopDelay.maximumSince(startedAt));
    return max(lag, connectTimes.delaySince(startedAt));
  }

  private static Duration max(Duration first, Duration second) {
    return first.compareTo(second) > 0 ? first : second;
  }
}
