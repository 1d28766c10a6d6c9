// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** Ticks another system at a longer interval. Owned by one event loop, not thread-safe. */
public final class IntervalSystem implements TickSystem {
  private final Duration interval;
  private final InstantSource clock;
  private final TickSystem system;
  private Instant nextTick = Instant.EPOCH;

  private IntervalSystem(Duration interval, InstantSource clock, TickSystem system) {
    this.interval = interval;
    this.clock = clock;
    this.system = system;
  }

  /** Returns a system that ticks {@code system} at most once in each interval. */
  public static IntervalSystem every(Duration interval, InstantSource clock, TickSystem system) {
    return new IntervalSystem(interval, clock, system);
  }

  @Override
  public void tick() {
    Instant now = clock.instant();
    if (!now.isBefore(nextTick)) {
      nextTick = now.plus(interval);
      system.tick();
    }
  }
}
