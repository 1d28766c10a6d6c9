// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Clock that starts at the system time, never runs backwards, and jumps forward only by the time
 * for which the host was suspended.
 *
 * <p>The monotonic system clock does not advance while the host is suspended, so that data read
 * before a suspension would seem as fresh after it as before. It is therefore compared with the
 * time of day and, when the two diverge, with the time since boot: if both show the same jump, the
 * host was suspended; otherwise the time of day was set. Invariant: the clock never runs backwards.
 * Thread-safe.
 */
public final class MonotonicClock implements InstantSource {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Interval between comparisons of the clocks; bounds the delay until a suspension is detected.
   */
  private static final long COMPARISON_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();

  /** Minimum divergence that counts as a jump; exceeds clock drift and the delay between reads. */
  private static final Duration DIVERGENCE_THRESHOLD = Duration.ofMillis(300);

  private final LongSupplier monotonicNanos;
  private final InstantSource timeOfDay;
  private final Supplier<Optional<Duration>> sinceBoot;
  private final Instant start;
  private final long startNanos;
  private volatile long lastComparisonNanos;
  private volatile long suspendedNanos;
  private Duration timeOfDayOffset;
  private Optional<Duration> bootOffset;

  private MonotonicClock(
      LongSupplier monotonicNanos,
      InstantSource timeOfDay,
      Supplier<Optional<Duration>> sinceBoot) {
    this.monotonicNanos = monotonicNanos;
    this.timeOfDay = timeOfDay;
    this.sinceBoot = sinceBoot;
    this.start = timeOfDay.instant();
    this.startNanos = monotonicNanos.getAsLong();
    this.lastComparisonNanos = startNanos;
    this.timeOfDayOffset = timeOfDayOffset(startNanos);
    this.bootOffset = bootOffset(startNanos);
  }

  /** Returns a clock that starts now. */
  public static MonotonicClock create() {
    return of(System::nanoTime, InstantSource.system(), Uptime::read);
  }

  /**
   * Returns a clock that is derived from other clocks.
   *
   * @param monotonicNanos the monotonic clock, in nanoseconds, which stops while the host is
   *     suspended
   * @param timeOfDay the time of day, which may be set
   * @param sinceBoot the time since boot including suspensions, empty if unknown
   */
  public static MonotonicClock of(
      LongSupplier monotonicNanos,
      InstantSource timeOfDay,
      Supplier<Optional<Duration>> sinceBoot) {
    return new MonotonicClock(monotonicNanos, timeOfDay, sinceBoot);
  }

  @Override
  public Instant instant() {
    long nanos = monotonicNanos.getAsLong();
    if (nanos - lastComparisonNanos >= COMPARISON_INTERVAL_NANOS) {
      compareClocks(nanos);
    }
    return start.plusNanos(nanos - startNanos + suspendedNanos);
  }

  private Duration timeOfDayOffset(long nanos) {
    return Duration.between(start, timeOfDay.instant()).minusNanos(nanos - startNanos);
  }

  private Optional<Duration> bootOffset(long nanos) {
    return sinceBoot.get().map(boot -> boot.minusNanos(nanos - startNanos));
  }

  private synchronized void compareClocks(long nanos) {
    lastComparisonNanos = nanos;
    Duration newOffset = timeOfDayOffset(nanos);
    Duration jump = newOffset.minus(timeOfDayOffset);
    if (jump.abs().compareTo(DIVERGENCE_THRESHOLD) < 0) {
      return;
    }
    timeOfDayOffset = newOffset;
    Optional<Duration> previousBootOffset = bootOffset;
    bootOffset = bootOffset(nanos);
    Optional<Duration> suspended =
        bootOffset
            .flatMap(boot -> previousBootOffset.map(boot::minus))
            .filter(duration -> isConsistent(duration, jump));
    if (suspended.isPresent()) {
      suspendedNanos += suspended.get().toNanos();
      logger.atWarning().log("the host was suspended for %d ms", suspended.get().toMillis());
    } else {
      logger.atWarning().log("the time of day was changed by %d ms", jump.toMillis());
    }
  }

  private static boolean isConsistent(Duration suspended, Duration jump) {
    return suspended.compareTo(DIVERGENCE_THRESHOLD.dividedBy(2)) > 0
        && suspended.minus(jump).abs().compareTo(DIVERGENCE_THRESHOLD) < 0;
  }
}
