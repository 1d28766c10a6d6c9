// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual clock that advances from one scheduled action to the next. Not thread-safe. */
public final class VirtualTime implements InstantSource {
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::sequence));
  private Instant now = Instant.parse("2026-12-02T12:00:00Z");
  private long scheduledCount;

  private record Event(Instant at, long sequence, Runnable action) {}

  @Override
  public Instant instant() {
    return now;
  }

  /** Schedules an action; actions at the same time run in the order of scheduling. */
  public void after(Duration delay, Runnable action) {
    events.add(new Event(now.plus(delay), scheduledCount++, action));
  }

  /** Advances the clock by the duration and runs the actions that fall due. */
  public void run(Duration duration) {
    Instant end = now.plus(duration);
    while (!events.isEmpty() && !events.peek().at().isAfter(end)) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
    now = end;
  }
}
