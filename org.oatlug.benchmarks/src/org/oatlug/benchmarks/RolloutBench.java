// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Random;
import org.oatlug.internal.rollout.CandidateEvidence;
import org.oatlug.internal.rollout.RolloutGuard;

/**
 * Measures the exposure to bad versions with the production sequential tests and the rate at which
 * these halt good versions. Stateless.
 */
final class RolloutBench {
  private static final int INSTANCES = 7;
  private static final int REQUESTS_PER_SECOND = 20;
  private static final int ROLLOUT_SECONDS = 3600;
  private static final double CANDIDATE_WEIGHT = 0.1;
  private static final double CURRENT_ERROR_RATE = 0.01;
  private static final double CURRENT_MISS_RATE = 0.08;
  private static final double RATED_FRACTION = 0.5;
  private static final int BAD_RUNS = 200;
  private static final int GOOD_RUNS = 1000;

  private RolloutBench() {}

  /**
   * A simulated candidate.
   *
   * @param name the label of the printed row
   * @param errors the fraction of requests that fail
   * @param misses the fraction of responses that miss the target
   */
  private record Candidate(String name, double errors, double misses) {}

  static void run(ArrayNode rows) {
    System.out.printf(
        "%nRoll-outs: one hour at %d requests/s, %.0f%% for the candidate, %d instances%n",
        REQUESTS_PER_SECOND, CANDIDATE_WEIGHT * 100, INSTANCES);
    System.out.printf(
        "%-34s %14s %14s %10s %9s%n", "candidate", "no guard", "with guard", "fewer", "halted");
    measure(rows, new Candidate("20% errors", 0.20, CURRENT_MISS_RATE), BAD_RUNS);
    measure(rows, new Candidate("5% errors", 0.05, CURRENT_MISS_RATE), BAD_RUNS);
    measure(rows, new Candidate("35% miss the target", CURRENT_ERROR_RATE, 0.35), BAD_RUNS);
    measure(rows, new Candidate("16% miss the target", CURRENT_ERROR_RATE, 0.16), BAD_RUNS);
    measure(
        rows,
        new Candidate("as good as current", CURRENT_ERROR_RATE, CURRENT_MISS_RATE),
        GOOD_RUNS);
    measure(rows, new Candidate("better than current", 0.005, 0.05), GOOD_RUNS);
  }

  private static void measure(ArrayNode rows, Candidate candidate, int runs) {
    double candidateRequests = 0;
    int halted = 0;
    for (int run = 0; run < runs; run++) {
      Exposure exposure = simulateRollout(candidate, new Random(run));
      candidateRequests += (double) exposure.candidateRequests() / runs;
      halted += exposure.halted() ? 1 : 0;
    }
    double unguarded = REQUESTS_PER_SECOND * ROLLOUT_SECONDS * CANDIDATE_WEIGHT;
    double haltedPercent = 100.0 * halted / runs;
    System.out.printf(
        "%-34s %14.0f %14.1f %9.1fx %8.1f%%%n",
        candidate.name() + " (" + runs + " runs)",
        unguarded,
        candidateRequests,
        unguarded / candidateRequests,
        haltedPercent);
    rows.addObject()
        .put("group", "rollout")
        .put("policy", candidate.name())
        .put("unguardedAnswers", unguarded)
        .put("guardedAnswers", candidateRequests)
        .put("haltedPercent", haltedPercent);
  }

  /**
   * The outcome of a simulated roll-out.
   *
   * @param candidateRequests the number of requests routed to the candidate
   * @param halted whether the roll-out was halted, by all instances together or by one of them
   */
  private record Exposure(int candidateRequests, boolean halted) {}

  private static Exposure simulateRollout(Candidate candidate, Random random) {
    CandidateEvidence[] evidence = new CandidateEvidence[INSTANCES];
    boolean[] locallyHalted = new boolean[INSTANCES];
    for (int index = 0; index < INSTANCES; index++) {
      evidence[index] = CandidateEvidence.create();
    }
    int candidateRequests = 0;
    for (int second = 0; second < ROLLOUT_SECONDS; second++) {
      for (int number = 0; number < REQUESTS_PER_SECOND; number++) {
        int index = random.nextInt(INSTANCES);
        boolean toCandidate = !locallyHalted[index] && random.nextDouble() < CANDIDATE_WEIGHT;
        candidateRequests += toCandidate ? 1 : 0;
        observe(evidence[index], toCandidate, candidate, random);
        locallyHalted[index] |= evidence[index].sufficesForLocalHalt();
      }
      double totalLogEvidence = 0;
      for (CandidateEvidence instanceEvidence : evidence) {
        totalLogEvidence += instanceEvidence.logEvidence();
      }
      if (RolloutGuard.sufficesForGlobalHalt(totalLogEvidence)) {
        return new Exposure(candidateRequests, true);
      }
    }
    boolean anyHalted = false;
    for (boolean instanceHalted : locallyHalted) {
      anyHalted |= instanceHalted;
    }
    return new Exposure(candidateRequests, anyHalted);
  }

  private static void observe(
      CandidateEvidence evidence, boolean ofCandidate, Candidate candidate, Random random) {
    double errors = ofCandidate ? candidate.errors() : CURRENT_ERROR_RATE;
    double misses = ofCandidate ? candidate.misses() : CURRENT_MISS_RATE;
    boolean failed = random.nextDouble() < errors;
    evidence.add(RolloutGuard.Measure.ERRORS, ofCandidate, failed);
    if (!failed && random.nextDouble() < RATED_FRACTION) {
      evidence.add(RolloutGuard.Measure.RATINGS, ofCandidate, random.nextDouble() < misses);
    }
  }
}
