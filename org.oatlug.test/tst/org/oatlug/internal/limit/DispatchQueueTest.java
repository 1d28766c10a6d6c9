// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.Test;

/**
 * Replays in virtual time the load of an instance that is overloaded after a fleet-wide restart:
 * requests queued in its socket, then more than it can process, each in several steps of one event
 * loop.
 *
 * <p>Guards against starting every request at once: the steps of each then wait for those of all
 * others, and hardly any of the later requests is answered in time.
 */
public class DispatchQueueTest {
  private static final Duration STEP = Duration.ofMillis(25);
  private static final Duration LATENCY_TARGET = Duration.ofMillis(900);
  private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(3);
  private static final int QUEUED_AT_START = 80;
  private static final int LATER_REQUESTS = 150;
  private static final Duration ARRIVAL_INTERVAL = Duration.ofMillis(90);

  private final VirtualTime time = new VirtualTime();

  /** An event loop that runs tasks sequentially, each for the time of a step. */
  private final class EventLoop {
    private Instant freeAt = time.instant();

    /** Runs an action, which takes no time, after the tasks that are queued now. */
    void yield(Runnable action) {
      Instant now = time.instant();
      time.after(freeAt.isAfter(now) ? Duration.between(now, freeAt) : Duration.ZERO, action);
    }

    void execute(Runnable task) {
      Instant now = time.instant();
      Instant startsAt = freeAt.isAfter(now) ? freeAt : now;
      freeAt = startsAt.plus(STEP);
      time.after(Duration.between(now, freeAt), task);
    }
  }

  /** A request: read, routed, connected, written and answered in steps of the loop. */
  private final class Request {
    private final Instant sentAt = time.instant();

    private boolean hasTimedOut() {
      return time.instant().isAfter(sentAt.plus(CALLER_TIMEOUT));
    }

    private Duration age() {
      return Duration.between(sentAt, time.instant());
    }
  }

  /** Counts of the requests served, and of those served in time. */
  private static final class Outcome {
    private int inTime;
    private int served;
  }

  private final EventLoop loop = new EventLoop();
  private final Outcome outcome = new Outcome();

  /** Opens a connection, writes the request and reads the response, a step of the loop each. */
  private boolean attempt(Request request) {
    loop.execute(() -> loop.execute(() -> write(request)));
    return true;
  }

  private void write(Request request) {
    if (!request.hasTimedOut()) {
      loop.execute(() -> loop.execute(() -> serve(request)));
    }
  }

  private void serve(Request request) {
    if (!request.hasTimedOut()) {
      outcome.served++;
      outcome.inTime += request.age().compareTo(LATENCY_TARGET) <= 0 ? 1 : 0;
    }
  }

  private Outcome replay(Consumer<Request> enqueue) {
    for (int number = 0; number < QUEUED_AT_START; number++) {
      Request request = new Request();
      loop.execute(() -> enqueue.accept(request));
    }
    for (int number = 1; number <= LATER_REQUESTS; number++) {
      time.after(
          ARRIVAL_INTERVAL.multipliedBy(number),
          () -> {
            Request request = new Request();
            loop.execute(() -> enqueue.accept(request));
          });
    }
    time.run(Duration.ofSeconds(60));
    return outcome;
  }

  /** Without the queue all requests start at once. */
  @Test
  public void testFewRequestsAreInTimeWithoutQueue() {
    Outcome unqueued = replay(this::attempt);
    assertTrue(unqueued.inTime <= 12, "in time " + unqueued.inTime);
  }

  @Test
  public void testQueueServesRequestsThatCanBeInTime() {
    DispatchQueue<Request> queue =
        DispatchQueue.create(
            time, loop::yield, request -> !request.hasTimedOut() && attempt(request));
    Outcome queued = replay(queue::enqueue);
    assertTrue(queued.inTime >= 50, "in time " + queued.inTime + " served " + queued.served);
    assertEquals(queue.size(), 0);
  }

  private Urgency urgencyOf(Request request) {
    Instant goalEnd = request.sentAt.plus(LATENCY_TARGET);
    return new Urgency(1, goalEnd, request.sentAt.plus(LATENCY_TARGET.dividedBy(2)));
  }

  /** Guards against an order by goal that starts only requests that are about to miss it. */
  @Test
  public void testOrderByGoalServesRequestsThatCanBeInTime() {
    DispatchQueue<Request> queue =
        DispatchQueue.create(
            time,
            loop::yield,
            request -> !request.hasTimedOut() && attempt(request),
            () ->
                Optional.of(Comparator.comparing(this::urgencyOf, Urgency.order(time.instant()))));
    Outcome queued = replay(queue::enqueue);
    assertTrue(queued.inTime >= 50, "in time " + queued.inTime + " served " + queued.served);
    assertEquals(queue.size(), 0);
  }

  /** Guards against an urgent request behind others at an overloaded instance. */
  @Test
  public void testOrderAppliesOnlyToOverload() {
    List<String> started = new ArrayList<>();
    Iterations iterations = new Iterations();
    DispatchQueue<String> queue =
        DispatchQueue.create(
            time,
            iterations.scheduled::add,
            started::add,
            () -> Optional.of(Comparator.<String>reverseOrder()));
    List.of("a", "b", "d", "c").forEach(queue::enqueue);
    iterations.next();
    time.run(Duration.ofMillis(200));
    iterations.next();
    iterations.next();
    assertEquals(started, List.of("a", "b", "d", "c"));
    assertEquals(queue.size(), 0);
  }

  /** Guards against a retry behind new requests of its rank at an overloaded instance. */
  @Test
  public void testRetryStartsBeforeNewRequestsOfItsRankInOverload() {
    Instant goal = time.instant().plusSeconds(2);
    Urgency higher = new Urgency(0, goal, goal);
    Urgency retry = new Urgency(1, false, true, goal, goal);
    Urgency lowerRetry = new Urgency(2, false, true, goal, goal);
    Urgency fresh = new Urgency(1, goal.minusSeconds(1), goal);
    List<Urgency> started = new ArrayList<>();
    Iterations iterations = new Iterations();
    DispatchQueue<Urgency> queue =
        DispatchQueue.create(
            time,
            iterations.scheduled::add,
            started::add,
            () -> Optional.of(Urgency.order(time.instant())));
    List.of(fresh, lowerRetry, fresh, retry, higher).forEach(queue::enqueue);
    time.run(Duration.ofMillis(200));
    for (int count = 0; count < 5; count++) {
      iterations.next();
    }
    assertEquals(started, List.of(fresh, higher, retry, fresh, lowerRetry));
  }

  /** Holds actions until the test runs the next iteration. */
  private static final class Iterations {
    private final List<Runnable> scheduled = new ArrayList<>();

    void next() {
      List<Runnable> now = List.copyOf(scheduled);
      scheduled.clear();
      now.forEach(Runnable::run);
    }
  }

  @Test
  public void testRequestStartsAtOnceWithoutOverload() {
    List<String> started = new ArrayList<>();
    Iterations iterations = new Iterations();
    DispatchQueue<String> queue =
        DispatchQueue.create(time, iterations.scheduled::add, started::add);
    for (int number = 1; number <= 100; number++) {
      queue.enqueue("request-" + number);
      assertEquals(started.size(), number);
      iterations.next();
    }
    assertTrue(iterations.scheduled.isEmpty(), "an empty queue schedules no iteration");
  }

  @Test
  public void testOldestStartsFirstUntilItWaitedTooLong() {
    List<String> started = new ArrayList<>();
    Iterations iterations = new Iterations();
    DispatchQueue<String> queue =
        DispatchQueue.create(time, iterations.scheduled::add, started::add);
    for (int number = 1; number <= 20; number++) {
      queue.enqueue("request-" + number);
    }
    assertEquals(started, List.of("request-1"));
    iterations.next();
    assertEquals(started.get(1), "request-2");
    time.run(Duration.ofMillis(200));
    iterations.next();
    assertEquals(started.get(2), "request-20");
    assertEquals(queue.size(), 17);
  }

  @Test
  public void testExpiredRequestUsesNoIteration() {
    List<String> started = new ArrayList<>();
    Iterations iterations = new Iterations();
    DispatchQueue<String> queue =
        DispatchQueue.create(
            time,
            iterations.scheduled::add,
            request -> !request.equals("late") && started.add(request));
    for (int number = 0; number < 50; number++) {
      queue.enqueue("late");
    }
    for (int number = 0; number < 6; number++) {
      queue.enqueue("request");
    }
    assertEquals(started.size(), 1);
    assertEquals(queue.size(), 5);
  }
}
