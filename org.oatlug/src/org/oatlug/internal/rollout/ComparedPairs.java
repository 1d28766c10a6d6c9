// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.rollout;

import java.util.List;

/**
 * The pairs of answers in which just one version failed, was late to begin, or was slow. Immutable,
 * thread-safe.
 *
 * <p>Kept apart, because an answer in time is no counterpart to a slow stream.
 *
 * @param failures the pairs in which one failed
 * @param lateness the pairs in which one was late to begin
 * @param slowness the pairs in which one was slow
 */
public record ComparedPairs(PairCounts failures, PairCounts lateness, PairCounts slowness) {
  /** No pair at all. */
  public static final ComparedPairs NONE =
      new ComparedPairs(PairCounts.NONE, PairCounts.NONE, PairCounts.NONE);

  /** Returns the pairs of both, which others saw each. */
  public ComparedPairs plus(ComparedPairs other) {
    return new ComparedPairs(
        failures.plus(other.failures),
        lateness.plus(other.lateness),
        slowness.plus(other.slowness));
  }

  /** Returns the later of two states of the same pairs, whichever came first. */
  public ComparedPairs join(ComparedPairs other) {
    return new ComparedPairs(
        failures.join(other.failures),
        lateness.join(other.lateness),
        slowness.join(other.slowness));
  }

  /** Returns the number of pairs that speak against the candidate. */
  public long worse() {
    return failures.worse() + lateness.worse() + slowness.worse();
  }

  /** Returns whether the numbers are such as pairs can have. */
  public boolean isSound() {
    return failures.isSound() && lateness.isSound() && slowness.isSound();
  }

  /** Returns the logarithm of the mean evidence, so that three looks alarm no more than one. */
  public double logEvidence() {
    List<PairCounts> measures = List.of(failures, lateness, slowness);
    double sum = 0;
    for (PairCounts pairs : measures) {
      sum += Math.exp(SequentialTest.logEvidence(pairs));
    }
    return Math.log(sum / measures.size());
  }
}
