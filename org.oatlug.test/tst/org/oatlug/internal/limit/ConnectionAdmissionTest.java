// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import org.oatlug.internal.limit.ConnectionAdmission.Decision;
import org.oatlug.internal.limit.ConnectionAdmission.Load;
import org.oatlug.internal.util.EventLoopDelay;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.Test;

/**
 * Replays in virtual time more connections than the event loop of an instance can serve.
 *
 * <p>Guards against an instance that reads every request: reading takes the time in which the
 * requests that were read could have been served.
 */
public class ConnectionAdmissionTest {
  private static final Duration RUN_TIME = Duration.ofSeconds(14);
  private static final int CAPACITY_PER_SECOND = 70;
  private static final int ARRIVALS_PER_SECOND = 150;
  private static final Duration GOAL = Duration.ofMillis(500);
  private static final Duration ACCEPT_COST = Duration.ofMillis(1);
  private static final Duration READ_COST = Duration.ofMillis(4);
  private static final Duration SERVE_COST = Duration.ofNanos(9_285_000);

  private final VirtualTime time = new VirtualTime();
  private Instant freeAt = time.instant();
  private int servedInTime;
  private int refused;
  private int admittedOverloaded;

  /** Runs a task after those queued before it, and then occupies the event loop for the cost. */
  private void execute(Duration cost, Runnable task) {
    Instant now = time.instant();
    Instant startsAt = freeAt.isAfter(now) ? freeAt : now;
    freeAt = startsAt.plus(cost);
    time.after(Duration.between(now, startsAt), task);
  }

  /** Serves a request that was sent at this time. */
  private boolean start(Instant sentAt) {
    execute(SERVE_COST, () -> {});
    execute(Duration.ZERO, () -> servedInTime += time.instant().isAfter(sentAt.plus(GOAL)) ? 0 : 1);
    return true;
  }

  /** The order in which requests start while connections are refused, as in RequestQueue. */
  private Comparator<Instant> urgencyOrder() {
    return Comparator.comparing(ConnectionAdmissionTest::urgency, Urgency.order(time.instant()));
  }

  private static Urgency urgency(Instant sentAt) {
    return new Urgency(0, sentAt.plus(GOAL), sentAt.plus(GOAL).minus(GOAL.dividedBy(8)));
  }

  private void run(Optional<Duration> goal) {
    EventLoopDelay delay =
        EventLoopDelay.create(time, task -> execute(Duration.ZERO, task), sample -> {});
    DispatchQueue<Instant> queue =
        DispatchQueue.create(
            time,
            task -> execute(Duration.ZERO, task),
            this::start,
            () -> goal.map(unused -> urgencyOrder()));
    ConnectionAdmission admission = ConnectionAdmission.create();
    int arrivals = (int) RUN_TIME.toSeconds() * ARRIVALS_PER_SECOND;
    for (int index = 0; index < arrivals; index++) {
      Duration arrival = RUN_TIME.multipliedBy(index).dividedBy(arrivals);
      Instant sentAt = time.instant().plus(arrival);
      time.after(
          arrival,
          () ->
              execute(
                  ACCEPT_COST,
                  () -> {
                    delay.probe();
                    Duration lag = delay.minimumDelay(time.instant());
                    Load load = new Load(lag, queue.oldestWait(), queue.size(), 0);
                    Decision decision = admission.decide(load, goal, time.instant());
                    refused += decision == Decision.REFUSED ? 1 : 0;
                    admittedOverloaded += decision == Decision.ADMITTED_OVERLOADED ? 1 : 0;
                    if (decision != Decision.REFUSED) {
                      execute(READ_COST, () -> queue.enqueue(sentAt));
                    }
                  }));
    }
    time.run(RUN_TIME);
  }

  @Test
  public void testOverloadedInstanceServesItsCapacityInTime() {
    run(Optional.empty());
    final int withoutAdmission = servedInTime;
    assertEquals(refused, 0);
    ConnectionAdmissionTest other = new ConnectionAdmissionTest();
    other.run(Optional.of(GOAL));
    String outcome =
        String.format(
            "in time %d without and %d with admission, refused %d, admitted overloaded %d",
            withoutAdmission, other.servedInTime, other.refused, other.admittedOverloaded);
    assertTrue(other.servedInTime >= RUN_TIME.toSeconds() * CAPACITY_PER_SECOND * 3 / 4, outcome);
    assertTrue(withoutAdmission < other.servedInTime / 2, outcome);
  }

  @Test
  public void testOneConnectionIsAdmittedEvery250Millis() {
    ConnectionAdmission admission = ConnectionAdmission.create();
    Load load = new Load(Duration.ofSeconds(3), Duration.ofSeconds(3), 200, 300);
    int admitted = 0;
    for (int index = 0; index < 400; index++) {
      Instant now = time.instant().plusMillis(10L * index);
      admitted += admission.decide(load, Optional.of(GOAL), now) == Decision.REFUSED ? 0 : 1;
    }
    assertEquals(admitted, 16, "one each 250 ms of 4 s");
  }

  @Test
  public void testBoundIsHalfOfShortestGoal() {
    ConnectionAdmission admission = ConnectionAdmission.create();
    Instant now = time.instant();
    Load bearable = new Load(Duration.ofMillis(100), Duration.ofMillis(150), 9, 9);
    Load excessive = new Load(Duration.ofMillis(101), Duration.ofMillis(150), 9, 9);
    assertEquals(admission.decide(bearable, Optional.of(GOAL), now), Decision.ADMITTED);
    assertEquals(admission.decide(excessive, Optional.of(GOAL), now), Decision.REFUSED);
    assertEquals(admission.decide(excessive, Optional.empty(), now), Decision.ADMITTED);
  }
}
