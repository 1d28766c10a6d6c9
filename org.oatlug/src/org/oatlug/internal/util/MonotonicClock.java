// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * A clock that starts at the system's time and then never jumps or runs back. Immutable,
 * thread-safe.
 */
public final class MonotonicClock implements InstantSource {
  private final LongSupplier steadyNanos;
  private final Instant start;
  private final long startNanos;

  private MonotonicClock(LongSupplier steadyNanos, InstantSource timeOfDay) {
    this.steadyNanos = steadyNanos;
    this.start = timeOfDay.instant();
    this.startNanos = steadyNanos.getAsLong();
  }

  /** Returns a clock that starts now. */
  public static MonotonicClock create() {
    return of(System::nanoTime, InstantSource.system(), Optional::empty);
  }

  /**
   * Returns a clock over other ones.
   *
   * @param steadyNanos the steady clock, in nanoseconds, which a suspended machine does not count
   * @param timeOfDay the time of day, which may be set
   * @param sinceBoot the time since the machine was started, suspensions included, if it is known
   */
  public static MonotonicClock of(
      LongSupplier steadyNanos, InstantSource timeOfDay, Supplier<Optional<Duration>> sinceBoot) {
    return new MonotonicClock(steadyNanos, timeOfDay);
  }

  @Override
  public Instant instant() {
    return start.plusNanos(steadyNanos.getAsLong() - startNanos);
  }
}
