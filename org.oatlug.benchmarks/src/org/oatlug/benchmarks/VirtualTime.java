// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import java.time.Instant;
import java.time.InstantSource;
import java.util.PriorityQueue;

/**
 * Discrete-event scheduler and clock in virtual time.
 *
 * <p>Invariant: time never decreases; events at the same time run in the order in which they were
 * scheduled, so that runs are reproducible. Not thread-safe.
 */
final class VirtualTime implements InstantSource {
  private static final Instant START = Instant.parse("2026-12-02T00:00:00Z");
  private static final double NANOS_PER_MILLI = 1e6;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private double nowMillis;
  private long scheduledCount;

  private record Event(double atMillis, long sequence, Runnable action)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int timeOrder = Double.compare(atMillis, other.atMillis);
      return timeOrder != 0 ? timeOrder : Long.compare(sequence, other.sequence);
    }
  }

  @Override
  public Instant instant() {
    return START.plusNanos((long) (nowMillis * NANOS_PER_MILLI));
  }

  double nowMillis() {
    return nowMillis;
  }

  void after(double millis, Runnable action) {
    events.add(new Event(nowMillis + millis, scheduledCount++, action));
  }

  void every(double millis, Runnable action) {
    after(
        millis,
        () -> {
          action.run();
          every(millis, action);
        });
  }

  void runUntil(double millis) {
    while (!events.isEmpty() && events.peek().atMillis() <= millis) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
    nowMillis = millis;
  }
}
