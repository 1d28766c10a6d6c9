// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;

/**
 * Tells a standing queue from a delay that passes: the delay that has lasted for a whole window.
 *
 * <p>On a slow processor a single iteration of the event loop, or the first use of some code, takes
 * as long as a queue elsewhere. Only a queue stays. Invariant: samples older than the window are
 * dropped, except for the one that shows the delay at its start. Not thread-safe.
 */
public final class StandingDelay {
  /** Several iterations of the event loop of a small instance. */
  static final Duration WINDOW = Duration.ofMillis(300);

  private final Deque<Sample> samples = new ArrayDeque<>();

  private record Sample(Instant at, Duration delay) {}

  private StandingDelay() {}

  /** Returns a measurement without samples. */
  public static StandingDelay create() {
    return new StandingDelay();
  }

  /**
   * Adds a sample; called at a regular interval.
   *
   * @return the minimum of the samples of the window, zero until one is as old as the window
   */
  public Duration record(Duration delay, Instant now) {
    samples.addLast(new Sample(now, delay));
    Instant start = now.minus(WINDOW);
    while (samples.size() > 1 && !secondSample().at().isAfter(start)) {
      samples.removeFirst();
    }
    if (samples.peekFirst().at().isAfter(start)) {
      return Duration.ZERO;
    }
    return samples.stream().map(Sample::delay).min(Comparator.naturalOrder()).orElseThrow();
  }

  private Sample secondSample() {
    return samples.stream().skip(1).findFirst().orElseThrow();
  }
}
