// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.rollout;

import java.util.ArrayDeque;

/**
 * Sequential test of whether a candidate fails more often than the current version, valid at any
 * stopping time.
 *
 * <p>Outcomes of the two versions are paired in their order of arrival. Under the null hypothesis
 * that the candidate is no worse, it is the version that failed in at most half of the pairs in
 * which exactly one version failed. The test bets against this hypothesis with several stakes in
 * parallel; the mean wealth is a supermartingale under it, so by Ville's inequality the probability
 * that it ever exceeds {@code 1 / alpha} is at most {@code alpha}. Not thread-safe.
 */
public final class SequentialTest {
  private static final double[] STAKES = {0.2, 0.5, 0.8};
  private static final int MAXIMUM_UNPAIRED = 64;

  private PairCounts counts = PairCounts.NONE;
  private final ArrayDeque<Boolean> current = new ArrayDeque<>();
  private final ArrayDeque<Boolean> candidate = new ArrayDeque<>();

  private SequentialTest() {}

  /** Returns a test without outcomes. */
  public static SequentialTest create() {
    return new SequentialTest();
  }

  /** Records an outcome of the current version. */
  public void recordCurrent(boolean failed) {
    enqueue(current, failed);
    matchPairs();
  }

  /** Records an outcome of the candidate. */
  public void recordCandidate(boolean failed) {
    enqueue(candidate, failed);
    matchPairs();
  }

  /**
   * Discards the outcomes that are not paired yet, so that later ones are not compared with them.
   */
  public void discardUnpaired() {
    current.clear();
    candidate.clear();
  }

  /** Returns the natural logarithm of the evidence against the candidate; 0 means no evidence. */
  public double logEvidence() {
    return logEvidence(counts);
  }

  /** Returns the natural logarithm of the evidence of these pairs; infinite if it overflows. */
  public static double logEvidence(PairCounts pairs) {
    double sum = 0;
    for (double stake : STAKES) {
      sum += Math.exp(pairs.worse() * Math.log1p(stake) + pairs.better() * Math.log1p(-stake));
    }
    return Math.log(sum / STAKES.length);
  }

  /** Returns the counts of pairs in which exactly one version failed. */
  public PairCounts counts() {
    return counts;
  }

  private static void enqueue(ArrayDeque<Boolean> outcomes, boolean failed) {
    if (outcomes.size() >= MAXIMUM_UNPAIRED) {
      outcomes.removeFirst();
    }
    outcomes.addLast(failed);
  }

  private void matchPairs() {
    while (!current.isEmpty() && !candidate.isEmpty()) {
      boolean candidateFailed = candidate.removeFirst();
      boolean currentFailed = current.removeFirst();
      if (candidateFailed != currentFailed) {
        countPair(candidateFailed);
      }
    }
  }

  private void countPair(boolean candidateFailed) {
    counts = counts.plus(candidateFailed ? new PairCounts(1, 0) : new PairCounts(0, 1));
  }
}
