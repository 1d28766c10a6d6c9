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
 * A clock that starts at the system's time, never runs back, and jumps only over the time for which
 * the host was suspended.
 *
 * <p>The steady clock does not count a suspension; what was known before would seem as young after
 * it. So it is compared with the time of day, and when the two part, with the time since boot: the
 * host was suspended if both say so alike, and else the time of day was set. Invariant: it never
 * runs back. Thread-safe.
 */
public final class MonotonicClock implements InstantSource {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How often the clocks are compared: a suspension that ended is noticed that late. */
  private static final long COMPARE_NANOS = Duration.ofMillis(20).toNanos();

  /** By how much the clocks part before it means something: more than they drift or are read. */
  private static final Duration PARTED = Duration.ofMillis(300);

  private final LongSupplier steadyNanos;
  private final InstantSource timeOfDay;
  private final Supplier<Optional<Duration>> sinceBoot;
  private final Instant start;
  private final long startNanos;
  private volatile long comparedNanos;
  private volatile long suspendedNanos;
  private Duration dayAhead;
  private Optional<Duration> bootAhead;

  private MonotonicClock(
      LongSupplier steadyNanos, InstantSource timeOfDay, Supplier<Optional<Duration>> sinceBoot) {
    this.steadyNanos = steadyNanos;
    this.timeOfDay = timeOfDay;
    this.sinceBoot = sinceBoot;
    this.start = timeOfDay.instant();
    this.startNanos = steadyNanos.getAsLong();
    this.comparedNanos = startNanos;
    this.dayAhead = dayAhead(startNanos);
    this.bootAhead = bootAhead(startNanos);
  }

  /** Returns a clock that starts now. */
  public static MonotonicClock create() {
    return of(System::nanoTime, InstantSource.system(), Uptime::read);
  }

  /**
   * Returns a clock over other ones.
   *
   * @param steadyNanos the steady clock, in nanoseconds, which a suspended host does not count
   * @param timeOfDay the time of day, which may be set
   * @param sinceBoot the time since the host was started, suspensions included, if it is known
   */
  public static MonotonicClock of(
      LongSupplier steadyNanos, InstantSource timeOfDay, Supplier<Optional<Duration>> sinceBoot) {
    return new MonotonicClock(steadyNanos, timeOfDay, sinceBoot);
  }

  @Override
  public Instant instant() {
    long nanos = steadyNanos.getAsLong();
    if (nanos - comparedNanos >= COMPARE_NANOS) {
      compare(nanos);
    }
    return start.plusNanos(nanos - startNanos + suspendedNanos);
  }

  private Duration dayAhead(long nanos) {
    return Duration.between(start, timeOfDay.instant()).minusNanos(nanos - startNanos);
  }

  private Optional<Duration> bootAhead(long nanos) {
    return sinceBoot.get().map(boot -> boot.minusNanos(nanos - startNanos));
  }

  private synchronized void compare(long nanos) {
    comparedNanos = nanos;
    Duration ahead = dayAhead(nanos);
    Duration jump = ahead.minus(dayAhead);
    if (jump.abs().compareTo(PARTED) < 0) {
      return;
    }
    dayAhead = ahead;
    Optional<Duration> bootBefore = bootAhead;
    bootAhead = bootAhead(nanos);
    Optional<Duration> suspended =
        bootAhead.flatMap(boot -> bootBefore.map(boot::minus)).filter(one -> isAlike(one, jump));
    if (suspended.isPresent()) {
      suspendedNanos += suspended.get().toNanos();
      logger.atWarning().log("the host was suspended for %d millis", suspended.get().toMillis());
    } else {
      logger.atWarning().log("the time of day was set by %d millis", jump.toMillis());
    }
  }

  private static boolean isAlike(Duration suspended, Duration jump) {
    return suspended.compareTo(PARTED.dividedBy(2)) > 0
        && suspended.minus(jump).abs().compareTo(PARTED) < 0;
  }
}
