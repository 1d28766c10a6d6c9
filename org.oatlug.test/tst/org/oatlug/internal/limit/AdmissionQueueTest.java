// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.oatlug.internal.engine.FirstTokenForecast;
import org.oatlug.internal.engine.PrefillBacklog;
import org.oatlug.internal.limit.AdmissionQueue.QueuedRequest;
import org.oatlug.internal.limit.AdmissionQueue.Rejection;
import org.oatlug.internal.limit.AdmissionQueue.RejectionReason;
import org.oatlug.internal.routing.RoomRule;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks the decision of the queue alone, in virtual time. */
public class AdmissionQueueTest {
  private static final Duration GOAL = Duration.ofSeconds(2);
  private static final List<String> ENGINES = List.of("a", "b", "c", "d");
  private static final int DIGEST_MILLIS = 218;

  private VirtualTime time;
  private AdmissionQueue queue;
  private List<String> events;
  private int room;

  @BeforeMethod
  void createQueue() {
    time = new VirtualTime();
    queue = AdmissionQueue.create();
    events = new ArrayList<>();
    room = 0;
  }

  private QueuedRequest request(String name, int rank, Duration goal, Duration timeout) {
    Instant now = time.instant();
    Urgency urgency = new Urgency(rank, now.plus(goal), now.plus(goal));
    return request(name, urgency, now.plus(goal.dividedBy(2)), now.plus(timeout));
  }

  private QueuedRequest request(String name, Urgency urgency, Instant bound, Instant latestStart) {
    return new QueuedRequest(
        "engines",
        urgency,
        bound,
        latestStart,
        () -> room > 0 && room-- > 0 && events.add(name),
        () -> events.add(name + " at bound"),
        wait -> events.add(name + " displaced"));
  }

  private Optional<Rejection> enqueue(String name, int rank) {
    return queue.enqueue(request(name, rank, GOAL, GOAL.multipliedBy(10)), time.instant());
  }

  private void release(int count) {
    room = count;
    queue.serve(time.instant());
    room = 0;
  }

  /** Guards against an urgent request behind one that may wait longer. */
  @Test
  public void testOrderIsByRankThenByEndOfGoal() {
    queue.enqueue(request("long", 1, GOAL.multipliedBy(2), GOAL.multipliedBy(2)), time.instant());
    enqueue("short", 1);
    enqueue("urgent", 0);
    release(3);
    assertEquals(events, List.of("urgent", "short", "long"));
  }

  /** Guards against starting requests that miss their goal before those that can meet it. */
  @Test
  public void testRequestsThatCanMeetTheirGoalGoFirst() {
    Instant now = time.instant();
    QueuedRequest timely = request("timely", 1, GOAL, GOAL);
    Urgency late = new Urgency(1, now.plusMillis(500), now.minusMillis(1));
    queue.enqueue(request("late", late, timely.bound(), timely.latestStart()), now);
    queue.enqueue(timely, now);
    release(2);
    assertEquals(events, List.of("timely", "late"));
  }

  /** Guards against starvation of a less urgent kind while urgent requests keep coming. */
  @Test
  public void testEveryEighthReleaseGoesToLongestWaiting() {
    enqueue("low-1", 2);
    enqueue("low-2", 2);
    for (int number = 0; number < 20; number++) {
      enqueue("urgent", 0);
    }
    release(16);
    assertEquals(events.indexOf("low-1"), 7);
    assertEquals(events.indexOf("low-2"), 15);
  }

  /** Guards against holding a request beyond half of its goal, whatever an upstream reports. */
  @Test
  public void testWaitEndsAtBound() {
    enqueue("request", 1);
    time.run(Duration.ofMillis(999));
    release(0);
    assertEquals(events, List.of());
    assertEquals(queue.earliestBound(), Optional.of(time.instant().plusMillis(1)));
    time.run(Duration.ofMillis(1));
    release(1);
    assertEquals(events, List.of("request at bound"));
    assertEquals(queue.size(), 0);
  }

  /** Guards against unbounded memory, and against refusing the more urgent of two requests. */
  @Test
  public void testFullQueueRefusesNewestOfLeastUrgent() {
    for (int number = 0; number < AdmissionQueue.MAXIMUM_WAITING; number++) {
      assertEquals(enqueue("low-" + number, number == 7 ? 1 : 2), Optional.empty());
    }
    assertEquals(enqueue("low", 2).map(Rejection::reason), Optional.of(RejectionReason.FULL));
    assertEquals(enqueue("urgent", 0), Optional.empty());
    assertEquals(events, List.of("low-255 displaced"));
    assertEquals(queue.size(), AdmissionQueue.MAXIMUM_WAITING);
  }

  /** Guards against room that is spent on a caller who left. */
  @Test
  public void testRequestOfDisconnectedCallerLeaves() {
    QueuedRequest left = request("left", 0, GOAL, GOAL);
    queue.enqueue(left, time.instant());
    enqueue("other", 1);
    assertTrue(queue.remove(left));
    release(1);
    assertEquals(events, List.of("other"));
  }

  /** Guards against holding a request until its deadline although it is known to start later. */
  @Test
  public void testRequestThatStartsTooLateIsRejectedAtOnce() {
    Duration minute = Duration.ofMinutes(1);
    for (int number = 0; number < 40; number++) {
      queue.enqueue(request("ahead", 0, minute, minute), time.instant());
    }
    for (int number = 0; number < 30; number++) {
      time.run(Duration.ofMillis(500));
      release(1);
    }
    Rejection rejection =
        queue.enqueue(request("late", 1, GOAL, GOAL), time.instant()).orElseThrow();
    assertEquals(rejection.reason(), RejectionReason.LATE);
    assertTrue(rejection.predictedWait().compareTo(GOAL) > 0, "wait " + rejection.predictedWait());
    assertEquals(enqueue("in time", 1), Optional.empty());
  }

  /** Guards against refusing all requests for ever after a time without room. */
  @Test
  public void testTimeWithoutRoomDoesNotRefuseLaterRequests() {
    for (int second = 0; second < 300; second++) {
      queue.enqueue(request("waits", 1, GOAL, GOAL.dividedBy(2)), time.instant());
      time.run(Duration.ofSeconds(1));
      release(0);
    }
    assertEquals(enqueue("next", 1), Optional.empty());
    release(1);
    assertEquals(
        queue.enqueue(request("in time", 1, GOAL, GOAL), time.instant()), Optional.empty());
  }

  /** Guards against a workspace beyond its share that goes before others of its rank. */
  @Test
  public void testWorkspaceBeyondItsShareGoesBehindOthersOfItsRank() {
    Instant now = time.instant();
    Instant goal = now.plus(GOAL);
    Urgency beyond = new Urgency(1, true, false, goal, goal);
    queue.enqueue(request("beyond", beyond, goal, goal), now);
    enqueue("within", 1);
    enqueue("lower", 2);
    release(3);
    assertEquals(events, List.of("within", "beyond", "lower"));
  }

  private Urgency retry(int rank) {
    Instant goal = time.instant().plus(GOAL);
    return new Urgency(rank, false, true, goal, goal);
  }

  /** Guards against a retry behind new requests of its rank, or before those of a higher rank. */
  @Test
  public void testRetryGoesBeforeNewRequestsOfItsRankOnly() {
    Instant end = time.instant().plus(GOAL);
    enqueue("lower", 2);
    queue.enqueue(request("lower retry", retry(2), end, end), time.instant());
    enqueue("new", 1);
    queue.enqueue(request("retry", retry(1), end, end), time.instant());
    release(4);
    assertEquals(events, List.of("retry", "new", "lower retry", "lower"));
  }

  /** Guards against a second refusal of a caller while new requests of its rank wait. */
  @Test
  public void testRetryDisplacesNewestNewRequestOfItsRankFromFullQueue() {
    Instant end = time.instant().plus(GOAL);
    for (int number = 1; number < AdmissionQueue.MAXIMUM_WAITING; number++) {
      enqueue("new " + number, 1);
    }
    queue.enqueue(request("retry 1", retry(1), end, end), time.instant());
    assertTrue(enqueue("rejected", 1).isPresent());
    queue.enqueue(request("retry 2", retry(1), end, end), time.instant());
    assertEquals(events, List.of("new " + (AdmissionQueue.MAXIMUM_WAITING - 1) + " displaced"));
    assertTrue(queue.enqueue(request("low", retry(2), end, end), time.instant()).isPresent());
  }

  /**
   * Room for half of the demand, which three kinds of requests share evenly; each waits for an
   * eighth of its goal at most and is refused then. Guards against serving a kind less often than a
   * less urgent one.
   */
  @Test
  public void testRoomForHalfOfDemandGoesToUrgentRequests() {
    Random random = new Random(7);
    int[] arrived = new int[3];
    Duration longest = GOAL.dividedBy(8);
    for (int number = 0; number < 12_000; number++) {
      time.run(Duration.ofMillis(5));
      if (random.nextInt(100) < 50) {
        int rank = random.nextInt(3);
        arrived[rank]++;
        Instant now = time.instant();
        Urgency urgency = new Urgency(rank, now.plus(GOAL), now.plus(GOAL));
        queue.enqueue(request("kind-" + rank, urgency, now.plus(longest), now.plus(longest)), now);
      }
      room = Math.min(3, room + (random.nextInt(100) < 25 ? 1 : 0));
      queue.serve(time.instant());
      boolean beyond = queue.earliestBound().filter(at -> !at.isAfter(time.instant())).isPresent();
      assertFalse(beyond, "waits for over an eighth of its goal");
    }
    double[] shares = new double[3];
    for (int rank = 0; rank < 3; rank++) {
      shares[rank] = (double) Collections.frequency(events, "kind-" + rank) / arrived[rank];
    }
    assertTrue(shares[0] >= 0.98, Arrays.toString(shares));
    assertTrue(shares[1] >= shares[2] - 0.05, Arrays.toString(shares));
  }

  /**
   * Replays ten seconds of digests, whose rate jumps to 2.6 times the usual one for five seconds,
   * at four engines that read prompts one after the other, sent by instances that know only their
   * own pending prompts. Returns the longest time that an urgent request is behind others.
   */
  private Duration replayJump(int instances, long urgentGoalMillis) {
    Random random = new Random(3);
    List<AdmissionQueue> queues = new ArrayList<>();
    List<PrefillBacklog> backlogs = new ArrayList<>();
    for (int index = 0; index < instances; index++) {
      queues.add(AdmissionQueue.create());
      backlogs.add(PrefillBacklog.create());
    }
    Map<String, Instant> idleAt = new TreeMap<>();
    ENGINES.forEach(engine -> idleAt.put(engine, time.instant()));
    Duration longest = Duration.ZERO;
    for (int millis = 0; millis < 10_000; millis++) {
      time.run(Duration.ofMillis(1));
      int index = random.nextInt(instances);
      PrefillBacklog backlog = backlogs.get(index);
      AdmissionQueue target = queues.get(index);
      Function<Predicate<String>, Optional<String>> best =
          condition ->
              ENGINES.stream()
                  .filter(condition)
                  .min(Comparator.comparing(name -> backlog.waitingMillis(name, time.instant())));
      BiConsumer<String, Integer> send =
          (engine, prefill) -> {
            Instant idle = idleAt.get(engine);
            Instant begin = idle.isAfter(time.instant()) ? idle : time.instant();
            idleAt.put(engine, begin.plusMillis(prefill));
            backlog.begin(engine, prefill);
            time.after(
                Duration.between(time.instant(), idleAt.get(engine)),
                () -> {
                  backlog.end(engine, prefill);
                  target.serve(time.instant());
                });
          };
      Predicate<String> hasRoom =
          engine ->
              RoomRule.hasRoom(
                  new FirstTokenForecast(
                      backlog.waitingMillis(engine, time.instant()), DIGEST_MILLIS, 0, true),
                  0,
                  8,
                  OptionalLong.of(urgentGoalMillis));
      double rate = millis >= 2000 && millis < 7000 ? 2.6 : 1;
      if (random.nextDouble() < rate * 0.5 * ENGINES.size() / DIGEST_MILLIS) {
        Instant now = time.instant();
        Urgency urgency = new Urgency(2, now.plusSeconds(8), now.plusSeconds(8));
        QueuedRequest digest =
            new QueuedRequest(
                "engines",
                urgency,
                now.plusSeconds(4),
                now.plusSeconds(20),
                () -> {
                  Optional<String> engine = best.apply(hasRoom);
                  engine.ifPresent(name -> send.accept(name, DIGEST_MILLIS));
                  return engine.isPresent() && events.add("digest");
                },
                () -> events.add("digest at bound"),
                unused -> events.add("digest displaced"));
        assertEquals(target.enqueue(digest, now), Optional.empty());
        target.serve(now);
      }
      if (random.nextDouble() < 0.02) {
        String engine = best.apply(unused -> true).orElseThrow();
        Duration delay = Duration.between(time.instant(), idleAt.get(engine));
        longest = delay.compareTo(longest) > 0 ? delay : longest;
        send.accept(engine, 15);
      }
    }
    time.run(Duration.ofSeconds(20));
    assertEquals(Set.copyOf(events), Set.of("digest"));
    return longest;
  }

  /** Guards against urgent requests behind the prefill of requests that could have waited. */
  @Test
  public void testUrgentRequestsAreNotBehindDeferrableWork() {
    Duration alone = replayJump(1, GOAL.toMillis());
    assertTrue(alone.compareTo(GOAL.dividedBy(4)) <= 0, "delay " + alone);
  }

  /** Instances without reports of each other keep to the rule by their own pending prompts. */
  @Test
  public void testInstancesWithoutReportsUseTheirOwnPendingPrompts() {
    Duration two = replayJump(2, GOAL.toMillis());
    assertTrue(two.compareTo(GOAL.dividedBy(2)) <= 0, "delay " + two);
  }

  /** Shows that the load of the replay needs the rule. */
  @Test
  public void testUrgentRequestsAreDelayedWithoutRule() {
    Duration unlimited = replayJump(1, Long.MAX_VALUE);
    assertTrue(unlimited.compareTo(GOAL.dividedBy(2)) > 0, "delay " + unlimited);
  }
}
