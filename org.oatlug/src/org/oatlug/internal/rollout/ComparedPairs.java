// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.rollout;

import java.util.List;

/**
 * Counts of the response pairs in which exactly one version failed, started late or streamed
 * slowly. Immutable, thread-safe.
 *
 * <p>The three measures are counted separately, because a response that starts in time is not
 * comparable to a slow stream.
 *
 * @param failures the pairs in which one response failed
 * @param lateness the pairs in which one response started late
 * @param slowness the pairs in which one response streamed slowly
 * @param latenessOverTime the pairs of responses at different times in which one started late; not
 *     sent by earlier releases
 */
public record ComparedPairs(
    PairCounts failures, PairCounts lateness, PairCounts slowness, PairCounts latenessOverTime) {
  /** Counts of zero. */
  public static final ComparedPairs NONE =
      new ComparedPairs(PairCounts.NONE, PairCounts.NONE, PairCounts.NONE);

  /** Creates counts; those that an earlier release does not send are zero. */
  public ComparedPairs {
    latenessOverTime = latenessOverTime == null ? PairCounts.NONE : latenessOverTime;
  }

  /** Creates counts without pairs of responses at different times. */
  public ComparedPairs(PairCounts failures, PairCounts lateness, PairCounts slowness) {
    this(failures, lateness, slowness, PairCounts.NONE);
  }

  /** Returns the sum of two disjoint sets of pairs. */
  public ComparedPairs plus(ComparedPairs other) {
    return new ComparedPairs(
        failures.plus(other.failures),
        lateness.plus(other.lateness),
        slowness.plus(other.slowness),
        latenessOverTime.plus(other.latenessOverTime));
  }

  /** Returns the later of two states of the same counts, in whichever order they arrive. */
  public ComparedPairs join(ComparedPairs other) {
    return new ComparedPairs(
        failures.join(other.failures),
        lateness.join(other.lateness),
        slowness.join(other.slowness),
        latenessOverTime.join(other.latenessOverTime));
  }

  /** Returns the number of pairs in which the candidate was worse. */
  public long worse() {
    return failures.worse() + lateness.worse() + slowness.worse();
  }

  /** Returns whether all counts are in their valid range. */
  public boolean isSound() {
    return failures.isSound()
        && lateness.isSound()
        && slowness.isSound()
        && latenessOverTime.isSound();
  }

  /**
   * Returns the natural logarithm of the evidence of responses at different times. They are not
   * comparable under a changing load, so these pairs never refute a candidate.
   */
  public double logEvidenceOverTime() {
    return SequentialTest.logEvidence(latenessOverTime);
  }

  /**
   * Returns the natural logarithm of the mean evidence of the measures. The mean keeps the
   * probability of a false alarm at that of a single test.
   */
  public double logEvidence() {
    List<PairCounts> measures = List.of(failures, lateness, slowness);
    double sum = 0;
    for (PairCounts pairs : measures) {
      sum += Math.exp(SequentialTest.logEvidence(pairs));
    }
    return Math.log(sum / measures.size());
  }
}
