// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.Test;

/**
 * Replays what a choked instance gets after a loss of all: requests that waited in its socket, then
 * more than it can work on, each in several steps of one event loop. Virtual time.
 */
public class TurnLineTest {
  private static final Duration STEP = Duration.ofMillis(25);
  private static final Duration GOAL = Duration.ofMillis(900);
  private static final Duration PATIENCE = Duration.ofSeconds(3);
  private static final int WAITING_AT_START = 80;
  private static final int LATER = 150;
  private static final Duration BETWEEN = Duration.ofMillis(90);

  private final VirtualTime time = new VirtualTime();

  /** One event loop: tasks one after the other, each takes a step; others wait behind it. */
  private final class EventLoop {
    private Instant freeAt = time.instant();

    /** Runs an action behind the tasks that wait now, which takes no time of its own. */
    void yield(Runnable action) {
      Instant now = time.instant();
      time.after(freeAt.isAfter(now) ? Duration.between(now, freeAt) : Duration.ZERO, action);
    }

    void execute(Runnable task) {
      Instant now = time.instant();
      Instant begins = freeAt.isAfter(now) ? freeAt : now;
      freeAt = begins.plus(STEP);
      time.after(Duration.between(now, freeAt), task);
    }
  }

  /** A request; served after it was read, chosen, opened, written and answered. */
  private final class Request {
    private final Instant sentAt = time.instant();

    private boolean isGone() {
      return time.instant().isAfter(sentAt.plus(PATIENCE));
    }

    private Duration age() {
      return Duration.between(sentAt, time.instant());
    }
  }

  /** What became of the requests. */
  private static final class Outcome {
    private int inTime;
    private int served;
  }

  private final EventLoop loop = new EventLoop();
  private final Outcome outcome = new Outcome();

  /** Opens a connection, writes and reads the answer: a step of the loop each. */
  private boolean attempt(Request request) {
    loop.execute(() -> loop.execute(() -> write(request)));
    return true;
  }

  private void write(Request request) {
    if (!request.isGone()) {
      loop.execute(() -> loop.execute(() -> serve(request)));
    }
  }

  private void serve(Request request) {
    if (!request.isGone()) {
      outcome.served++;
      outcome.inTime += request.age().compareTo(GOAL) <= 0 ? 1 : 0;
    }
  }

  private Outcome replay(Consumer<Request> enter) {
    for (int number = 0; number < WAITING_AT_START; number++) {
      Request request = new Request();
      loop.execute(() -> enter.accept(request));
    }
    for (int number = 1; number <= LATER; number++) {
      time.after(
          BETWEEN.multipliedBy(number),
          () -> {
            Request request = new Request();
            loop.execute(() -> enter.accept(request));
          });
    }
    time.run(Duration.ofSeconds(60));
    return outcome;
  }

  /**
   * As it was: every request began at once, and hardly one of those that came later was in time.
   */
  @Test
  public void testAllTogetherServeHardlyAnybody() {
    Outcome all = replay(this::attempt);
    assertTrue(all.inTime <= 12, "in time " + all.inTime);
  }

  @Test
  public void testOneInTurnServesThoseThatCanBeInTime() {
    TurnLine<Request> line =
        TurnLine.create(time, loop::yield, request -> !request.isGone() && attempt(request));
    Outcome one = replay(line::enter);
    assertTrue(one.inTime >= 50, "in time " + one.inTime + " served " + one.served);
    assertEquals(line.waiting(), 0);
  }

  /** Lets actions wait for the test. */
  private static final class Turns {
    private final List<Runnable> planned = new ArrayList<>();

    void next() {
      List<Runnable> now = List.copyOf(planned);
      planned.clear();
      now.forEach(Runnable::run);
    }
  }

  @Test
  public void testRequestBeginsAtOnceWhereNothingIsChoked() {
    List<String> begun = new ArrayList<>();
    Turns turns = new Turns();
    TurnLine<String> line = TurnLine.create(time, turns.planned::add, begun::add);
    for (int number = 1; number <= 100; number++) {
      line.enter("request-" + number);
      assertEquals(begun.size(), number);
      turns.next();
    }
    assertTrue(turns.planned.isEmpty(), "nothing is planned while nobody waits");
  }

  @Test
  public void testOldestFirstUntilItWaitsForLong() {
    List<String> begun = new ArrayList<>();
    Turns turns = new Turns();
    TurnLine<String> line = TurnLine.create(time, turns.planned::add, begun::add);
    for (int number = 1; number <= 20; number++) {
      line.enter("request-" + number);
    }
    assertEquals(begun, List.of("request-1"));
    turns.next();
    assertEquals(begun.get(1), "request-2");
    time.run(Duration.ofMillis(200));
    turns.next();
    assertEquals(begun.get(2), "request-20");
    assertEquals(line.waiting(), 17);
  }

  @Test
  public void testRequestThatCanNoLongerBeServedTakesNoPlace() {
    List<String> begun = new ArrayList<>();
    Turns turns = new Turns();
    TurnLine<String> line =
        TurnLine.create(time, turns.planned::add, one -> !one.equals("late") && begun.add(one));
    for (int number = 0; number < 50; number++) {
      line.enter("late");
    }
    for (int number = 0; number < 6; number++) {
      line.enter("request");
    }
    assertEquals(begun.size(), 1);
    assertEquals(line.waiting(), 5);
  }
}
