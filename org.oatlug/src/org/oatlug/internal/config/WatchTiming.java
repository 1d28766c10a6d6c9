// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import java.time.Duration;
import java.time.Instant;

/**
 * Schedules the watches of one reader so that a silent connection is noticed in time.
 *
 * <p>The watches of a reader end in turn, one per interval. Since the network usually drops all
 * connections of an instance at once, the first watch that gets no response at its end reveals that
 * the others are silent as well. A quarter of the bound within which changes must take effect is
 * reserved for the interval, another one for a delayed response, and the rest for reading the
 * changes again and pushing them. Immutable.
 *
 * @param interval the time between the ends of successive watches of one reader
 * @param watchCount the number of watches of a reader
 */
record WatchTiming(Duration interval, int watchCount) {
  /** The parts of the bound, of which the interval and the grace period take one each. */
  private static final int PARTS = 4;

  /** The shortest interval, so that a tight bound does not turn watches into polling. */
  private static final Duration MINIMUM_INTERVAL = Duration.ofMillis(250);

  /**
   * Returns the timing by which changes take effect within the bound.
   *
   * @param bound the time from the acknowledgement of a change until it is in force everywhere
   */
  static WatchTiming within(Duration bound, int watchCount) {
    Duration interval = bound.dividedBy(PARTS);
    boolean isTooShort = interval.compareTo(MINIMUM_INTERVAL) < 0;
    return new WatchTiming(isTooShort ? MINIMUM_INTERVAL : interval, watchCount);
  }

  /** Returns the timing of a reader on which the zone does not depend. */
  WatchTiming multipliedBy(int factor) {
    return new WatchTiming(interval.multipliedBy(factor), watchCount);
  }

  /**
   * Returns the time for which a watch that starts now waits for a change. It ends at the next turn
   * of the watch that is at least half an interval away.
   *
   * @param index the position of the watch among those of the reader, from 0
   */
  Duration waitFrom(Instant now, int index) {
    long period = interval.toMillis() * watchCount;
    long minimum = interval.toMillis() / 2;
    long turn = interval.toMillis() * index;
    long untilTurn = Math.floorMod(turn - now.toEpochMilli() - minimum, period);
    return Duration.ofMillis(minimum + untilTurn);
  }

  /** Returns the time after the end of a watch by which its response must have arrived. */
  Duration grace() {
    return interval;
  }
}
