// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.rollout;

/**
 * Evidence of one instance against a candidate version, from errors and from ratings.
 *
 * <p>Invariant: the evidence is the mean of the wealth of the two tests, so it has the same bound
 * on the probability of a false alarm as each of them. The wealth of a test is the factor by which
 * its bets against the candidate have multiplied an initial 1, see {@link SequentialTest}. Not
 * thread-safe.
 */
public final class CandidateEvidence {
  private final SequentialTest errors = SequentialTest.create();
  private final SequentialTest ratings = SequentialTest.create();

  private CandidateEvidence() {}

  /** Returns evidence without any outcomes. */
  public static CandidateEvidence create() {
    return new CandidateEvidence();
  }

  /**
   * Records an outcome.
   *
   * @param isCandidate whether the candidate produced it rather than the current version
   */
  public void add(RolloutGuard.Measure measure, boolean isCandidate, boolean failed) {
    SequentialTest test = measure == RolloutGuard.Measure.ERRORS ? errors : ratings;
    if (isCandidate) {
      test.recordCandidate(failed);
    } else {
      test.recordCurrent(failed);
    }
  }

  /** Returns the natural logarithm of the evidence; 0 means no evidence. */
  public double logEvidence() {
    return Math.log((Math.exp(errors.logEvidence()) + Math.exp(ratings.logEvidence())) / 2);
  }

  /** Returns whether the evidence suffices for this instance to halt its share of the roll-out. */
  public boolean sufficesForLocalHalt() {
    return RolloutGuard.sufficesForLocalHalt(logEvidence());
  }
}
