// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalDouble;

/**
 * Measures the time per event of the stream of one attempt.
 *
 * <p>Invariant: a measurement is returned at most once, and never for a stream that was paused for
 * a slow caller. Used from one event loop.
 */
final class StreamEventInterval {
  /** The number of events that suffices for a measurement before the end of the stream. */
  private static final long SUFFICIENT_EVENTS = 8;

  /** A stream that ends with fewer events than this is not measured. */
  private static final long MINIMUM_EVENTS = 3;

  private Instant firstArrival;
  private Instant lastArrival;
  private long firstEventCount;
  private long eventCount;
  private boolean finished;

  /** Adds events that arrived together; returns the milliseconds per event once enough arrived. */
  OptionalDouble add(long count, Instant now) {
    if (firstArrival == null) {
      firstArrival = now;
      firstEventCount = count;
    }
    eventCount += count;
    lastArrival = now;
    return eventCount >= SUFFICIENT_EVENTS ? measure() : OptionalDouble.empty();
  }

  /** Ends the stream; returns the milliseconds per event unless they were returned before. */
  OptionalDouble end() {
    return eventCount >= MINIMUM_EVENTS ? measure() : OptionalDouble.empty();
  }

  /** Discards the measurement, because the stream is paused for a slow caller. */
  void discard() {
    finished = true;
  }

  private OptionalDouble measure() {
    long laterEvents = eventCount - firstEventCount;
    if (finished || laterEvents == 0) {
      return OptionalDouble.empty();
    }
    finished = true;
    return OptionalDouble.of(
        (double) Duration.between(firstArrival, lastArrival).toMillis() / laterEvents);
  }
}
