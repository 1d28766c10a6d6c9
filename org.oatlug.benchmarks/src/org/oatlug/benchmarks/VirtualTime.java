// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import java.time.Instant;
import java.time.InstantSource;
import java.util.PriorityQueue;

/**
 * Events in virtual time, run one after the other.
 *
 * <p>Invariant: time never runs back; events of the same time run in the order in which they were
 * made, so that a run repeats exactly. Used from one thread.
 */
final class VirtualTime implements InstantSource {
  private static final Instant START = Instant.parse("2026-12-02T00:00:00Z");
  private static final double NANOS_PER_MILLI = 1e6;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private double nowMillis;
  private long made;

  private record Event(double atMillis, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
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
    events.add(new Event(nowMillis + millis, made++, action));
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
