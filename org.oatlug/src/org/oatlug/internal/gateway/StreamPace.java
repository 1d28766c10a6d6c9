// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalDouble;

/**
 * How fast the events of one attempt follow each other.
 *
 * <p>Invariant: a pace is told at most once, and never for a stream that waited for its caller.
 * Used from one event loop.
 */
final class StreamPace {
  /** After so many events the pace is told, without waiting for the end of a long stream. */
  private static final long ENOUGH_EVENTS = 8;

  /** A stream that ends with fewer events than this shows no pace. */
  private static final long LEAST_EVENTS = 3;

  private Instant first;
  private Instant last;
  private long firstEvents;
  private long events;
  private boolean over;

  /** Takes in events that came at one time; returns the milliseconds an event once enough came. */
  OptionalDouble add(long count, Instant now) {
    if (first == null) {
      first = now;
      firstEvents = count;
    }
    events += count;
    last = now;
    return events >= ENOUGH_EVENTS ? tell() : OptionalDouble.empty();
  }

  /** Returns the milliseconds an event of a stream that ends, if it was not told before. */
  OptionalDouble end() {
    return events >= LEAST_EVENTS ? tell() : OptionalDouble.empty();
  }

  /** Notes that the stream waits for its caller, so that its pace says nothing. */
  void spoil() {
    over = true;
  }

  private OptionalDouble tell() {
    long measured = events - firstEvents;
    if (over || measured == 0) {
      return OptionalDouble.empty();
    }
    over = true;
    return OptionalDouble.of((double) Duration.between(first, last).toMillis() / measured);
  }
}
