// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * Finds out that the event loop stood still.
 *
 * <p>Invariant: the first call after a pause longer than the bound reports it, whether it comes
 * from the tick or from a request. Owned by one event loop, not thread-safe.
 */
public final class PauseWatch {
  private static final Duration BOUND = Duration.ofSeconds(1);

  private final InstantSource clock;
  private final Runnable onPause;
  private Instant last;

  private PauseWatch(InstantSource clock, Runnable onPause) {
    this.clock = clock;
    this.onPause = onPause;
    this.last = clock.instant();
  }

  /** Returns a watch that calls {@code onPause} after each pause. */
  public static PauseWatch create(InstantSource clock, Runnable onPause) {
    return new PauseWatch(clock, onPause);
  }

  /** Compares with the last call; called on each tick and before each dispatch. */
  public void check() {
    Instant now = clock.instant();
    Duration gap = Duration.between(last, now);
    last = now;
    if (gap.compareTo(BOUND) > 0) {
      onPause.run();
    }
  }
}
