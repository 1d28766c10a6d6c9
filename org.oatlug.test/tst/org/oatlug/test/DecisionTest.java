// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.oatlug.config.Cascade;
import org.oatlug.internal.cascade.ConfidentStage;
import org.oatlug.internal.cascade.RatingTable;
import org.oatlug.internal.limit.AdmissionQueue;
import org.oatlug.internal.limit.OpenRequests;
import org.oatlug.internal.limit.RetryBudget;
import org.oatlug.internal.limit.TokenBucket;
import org.oatlug.internal.limit.Urgency;
import org.oatlug.internal.rollout.CandidateEvidence;
import org.oatlug.internal.rollout.RolloutGuard;

/**
 * Checks the bounds of rate limits, retries, the admission queue, cascade stages and the roll-out
 * guard.
 */
class DecisionTest {
  private static final String SEED = "20261202";
  private static final Cascade CASCADE = new Cascade(List.of("small", "large"), 1, 0.9);

  private final FakeClock clock = new FakeClock();

  @Property(seed = SEED)
  void testTokenBucketKeepsToRateAndBurst(
      @ForAll @IntRange(min = 1, max = 50) int rate, @ForAll Random random) {
    TokenBucket bucket = TokenBucket.full(rate, clock.instant());
    int taken = 0;
    long millis = 0;
    for (int step = 0; step < 200; step++) {
      int pause = random.nextInt(100);
      millis += pause;
      clock.advance(Duration.ofMillis(pause));
      taken += bucket.take(rate, clock.instant()) ? 1 : 0;
    }
    assertTrue(
        taken <= rate + rate * millis / 1000.0 + 1,
        taken + " tokens taken, elapsed millis: " + millis);
  }

  @Property(seed = SEED)
  void testRetriesStayWithinBudget(@ForAll Random random) {
    RetryBudget budget = RetryBudget.create();
    int firstAttempts = 0;
    int retries = 0;
    for (int step = 0; step < 500; step++) {
      if (random.nextBoolean()) {
        budget.recordTry();
        firstAttempts++;
      } else if (budget.tryAcquireRetry()) {
        retries++;
      }
    }
    assertTrue(
        retries <= 10 + 0.2 * firstAttempts + 1,
        retries + " retries, first attempts: " + firstAttempts);
  }

  /** Checks the order by priority, then arrival, and that a full target blocks no other target. */
  @Example
  void testQueueServesByPriorityAndSkipsFullTargets() {
    AdmissionQueue queue = AdmissionQueue.create();
    List<String> served = new ArrayList<>();
    enqueue(queue, "free", 1, "low", served, true);
    enqueue(queue, "full", 9, "blocked", served, false);
    enqueue(queue, "free", 8, "high", served, true);
    enqueue(queue, "free", 8, "high later", served, true);
    queue.serve(clock.instant());
    assertEquals(served, List.of("high", "high later", "low"));
    assertEquals(queue.size(), 1);
  }

  /** Checks that a request that waited too long is refused at once and never served afterwards. */
  @Example
  void testQueueRefusesExpiredRequests() {
    AdmissionQueue queue = AdmissionQueue.create();
    List<String> served = new ArrayList<>();
    enqueue(queue, "full", 5, "late", served, false);
    clock.advance(Duration.ofSeconds(9));
    queue.serve(clock.instant());
    assertEquals(served, List.of("late refused"));
    assertEquals(queue.size(), 0);
  }

  private void enqueue(
      AdmissionQueue queue,
      String target,
      int priority,
      String name,
      List<String> served,
      boolean hasCapacity) {
    Instant deadline = clock.instant().plusSeconds(10);
    Instant bound = clock.instant().plusSeconds(5);
    AdmissionQueue.QueuedRequest request =
        new AdmissionQueue.QueuedRequest(
            target,
            new Urgency(9 - priority, deadline, bound),
            bound,
            bound,
            () -> hasCapacity && served.add(name),
            () -> served.add(name + " refused"),
            wait -> served.add(name + " displaced"));
    assertTrue(queue.enqueue(request, clock.instant()).isEmpty());
  }

  /** Checks that requests of low priority are refused first when little capacity is left. */
  @Example
  void testLowPriorityIsShedFirst() {
    OpenRequests openRequests = OpenRequests.withBound(100);
    for (int count = 0; count < 80; count++) {
      assertEquals(openRequests.admit(9), OpenRequests.Result.ADMITTED);
    }
    assertEquals(openRequests.admit(0), OpenRequests.Result.OVERLOADED);
    assertEquals(openRequests.admit(9), OpenRequests.Result.ADMITTED);
    openRequests.stop();
    assertEquals(openRequests.admit(9), OpenRequests.Result.STOPPING);
  }

  /**
   * Checks that a stage is used once its ratings reach the target, and not explored without
   * ratings.
   */
  @Example
  void testStageIsExploredOnlyWithRatings() {
    RatingTable ratings = RatingTable.create();
    RatingTable.Subject small = new RatingTable.Subject("desk", "tag", "small");
    for (int count = 0; count < 30; count++) {
      ratings.recordSubmission(small);
    }
    Random random = new Random(1);
    for (int count = 0; count < 500; count++) {
      int stage = ConfidentStage.create().choose(CASCADE, "desk", "tag", ratings, random);
      assertEquals(stage, CASCADE.safeStage());
    }
    for (int count = 0; count < 200; count++) {
      ratings.recordRating(small, count % 50 != 0);
    }
    assertEquals(ConfidentStage.create().choose(CASCADE, "desk", "tag", ratings, random), 0);
  }

  /** Checks that the guard halts a failing candidate, and less than 1% of 1000 healthy ones. */
  @Example
  void testGuardHaltsFailingAndKeepsHealthyCandidates() {
    assertTrue(isHalted(0.3, new Random(1)));
    int falseHalts = 0;
    for (int run = 0; run < 1000; run++) {
      falseHalts += isHalted(0.02, new Random(run)) ? 1 : 0;
    }
    assertTrue(falseHalts < 10, falseHalts + " healthy candidates were halted");
    assertFalse(isHalted(0.0, new Random(1)));
  }

  private static boolean isHalted(double candidateErrors, Random random) {
    CandidateEvidence evidence = CandidateEvidence.create();
    for (int count = 0; count < 2000; count++) {
      boolean isCandidate = count % 4 == 0;
      double errorRate = isCandidate ? candidateErrors : 0.02;
      evidence.add(RolloutGuard.Measure.ERRORS, isCandidate, random.nextDouble() < errorRate);
      if (RolloutGuard.sufficesForGlobalHalt(evidence.logEvidence())) {
        return true;
      }
    }
    return false;
  }
}
