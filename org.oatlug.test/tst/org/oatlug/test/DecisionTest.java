// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
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
import org.oatlug.internal.limit.OpenRequests;
import org.oatlug.internal.limit.RetryBudget;
import org.oatlug.internal.limit.TokenBucket;
import org.oatlug.internal.limit.WaitingLine;
import org.oatlug.internal.rollout.CandidateEvidence;
import org.oatlug.internal.rollout.RolloutGuard;

/** Shows the bounds that limits, retries, the waiting line, stages and the guard keep. */
class DecisionTest {
  private static final String SEED = "20261202";
  private static final Cascade CASCADE = new Cascade(List.of("small", "large"), 1, 0.9);

  private final FakeClock clock = new FakeClock();

  @Property(seed = SEED)
  void testBucketNeverGivesMoreThanRateAndBurst(
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
    assertTrue(taken <= rate + rate * millis / 1000.0 + 1, taken + " in " + millis);
  }

  @Property(seed = SEED)
  void testRetriesStayWithinTheirShare(@ForAll Random random) {
    RetryBudget budget = RetryBudget.create();
    int first = 0;
    int retries = 0;
    for (int step = 0; step < 500; step++) {
      if (random.nextBoolean()) {
        budget.firstTry();
        first++;
      } else if (budget.takeRetry()) {
        retries++;
      }
    }
    assertTrue(retries <= 10 + 0.2 * first + 1, retries + " of " + first);
  }

  /** Higher priority goes first, then earlier arrival; a full target holds up no other. */
  @Example
  void testLineServesByPriorityAndPassesFullTargets() {
    WaitingLine line = WaitingLine.create();
    List<String> served = new ArrayList<>();
    enter(line, "free", 1, "low", served, true);
    enter(line, "full", 9, "blocked", served, false);
    enter(line, "free", 8, "high", served, true);
    enter(line, "free", 8, "high later", served, true);
    line.serve(clock.instant());
    assertEquals(served, List.of("high", "high later", "low"));
    assertEquals(line.size(), 1);
  }

  /** A request that waited too long is refused at once, and never served afterwards. */
  @Example
  void testLineRefusesThoseWhoWaitedTooLong() {
    WaitingLine line = WaitingLine.create();
    List<String> served = new ArrayList<>();
    enter(line, "full", 5, "late", served, false);
    clock.advance(Duration.ofSeconds(9));
    line.serve(clock.instant());
    assertEquals(served, List.of("late refused"));
    assertEquals(line.size(), 0);
  }

  private void enter(
      WaitingLine line,
      String target,
      int priority,
      String name,
      List<String> served,
      boolean place) {
    WaitingLine.Waiting waiting =
        new WaitingLine.Waiting(
            target,
            priority,
            clock.instant().plusSeconds(10),
            () -> place && served.add(name),
            () -> served.add(name + " refused"));
    assertTrue(line.enter(waiting, clock.instant()).isEmpty());
  }

  /** When places are few, low priority is refused first. */
  @Example
  void testLowPriorityIsShedFirst() {
    OpenRequests open = OpenRequests.withBound(100);
    for (int count = 0; count < 80; count++) {
      assertEquals(open.admit(9), OpenRequests.Result.ADMITTED);
    }
    assertEquals(open.admit(0), OpenRequests.Result.OVERLOADED);
    assertEquals(open.admit(9), OpenRequests.Result.ADMITTED);
    open.stop();
    assertEquals(open.admit(9), OpenRequests.Result.STOPPING);
  }

  /** A stage is used once it is known to be good enough, and not tried without ratings. */
  @Example
  void testStageIsTriedOnlyWhileRatingsCome() {
    RatingTable ratings = RatingTable.create();
    RatingTable.Subject small = new RatingTable.Subject("desk", "tag", "small");
    for (int count = 0; count < 30; count++) {
      ratings.handedOver(small);
    }
    Random random = new Random(1);
    for (int count = 0; count < 500; count++) {
      int stage = ConfidentStage.create().choose(CASCADE, "desk", "tag", ratings, random);
      assertEquals(stage, CASCADE.safeStage());
    }
    for (int count = 0; count < 200; count++) {
      ratings.rated(small, count % 50 != 0);
    }
    assertEquals(ConfidentStage.create().choose(CASCADE, "desk", "tag", ratings, random), 0);
  }

  /** The guard halts a bad candidate; of 1000 good ones it halts less than 1%. */
  @Example
  void testGuardHaltsBadAndSparesGoodCandidates() {
    assertTrue(halts(0.3, new Random(1)));
    int falseHalts = 0;
    for (int run = 0; run < 1000; run++) {
      falseHalts += halts(0.02, new Random(run)) ? 1 : 0;
    }
    assertTrue(falseHalts < 10, falseHalts + " good candidates were halted");
    assertFalse(halts(0.0, new Random(1)));
  }

  private static boolean halts(double candidateErrors, Random random) {
    CandidateEvidence evidence = CandidateEvidence.create();
    for (int count = 0; count < 2000; count++) {
      boolean ofCandidate = count % 4 == 0;
      double errors = ofCandidate ? candidateErrors : 0.02;
      evidence.add(RolloutGuard.Measure.ERRORS, ofCandidate, random.nextDouble() < errors);
      if (RolloutGuard.refutesTogether(evidence.logEvidence())) {
        return true;
      }
    }
    return false;
  }
}
