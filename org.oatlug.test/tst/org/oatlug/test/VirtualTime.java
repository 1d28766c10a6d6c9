// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock that goes from one planned action to the next. Used from one thread. */
public final class VirtualTime implements InstantSource {
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
  private Instant now = Instant.parse("2026-12-02T12:00:00Z");
  private long numbers;

  private record Event(Instant at, long number, Runnable action) {}

  @Override
  public Instant instant() {
    return now;
  }

  /** Plans an action; those planned for the same moment run in the order of planning. */
  public void after(Duration wait, Runnable action) {
    events.add(new Event(now.plus(wait), numbers++, action));
  }

  /** Lets the time pass. */
  public void run(Duration time) {
    Instant end = now.plus(time);
    while (!events.isEmpty() && !events.peek().at().isAfter(end)) {
      Event next = events.poll();
      now = next.at();
      next.action().run();
    }
    now = end;
  }
}
