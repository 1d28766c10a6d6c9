// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * Detects pauses of the event loop.
 *
 * <p>Invariant: the first call after a pause longer than the threshold reports it, whether it is
 * made by the tick or by a request. Owned by one event loop, not thread-safe.
 */
public final class PauseDetector {
  private static final Duration PAUSE_THRESHOLD = Duration.ofSeconds(1);

  private final InstantSource clock;
  private final Runnable onPause;
  private Instant lastCheck;

  private PauseDetector(InstantSource clock, Runnable onPause) {
    this.clock = clock;
    this.onPause = onPause;
    this.lastCheck = clock.instant();
  }

  /** Returns a detector that calls {@code onPause} after each pause. */
  public static PauseDetector create(InstantSource clock, Runnable onPause) {
    return new PauseDetector(clock, onPause);
  }

  /** Checks the time since the last call; called on each tick and before each dispatch. */
  public void check() {
    Instant now = clock.instant();
    Duration gap = Duration.between(lastCheck, now);
    lastCheck = now;
    if (gap.compareTo(PAUSE_THRESHOLD) > 0) {
      onPause.run();
    }
  }
}
