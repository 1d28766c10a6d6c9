// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.rollout;

/**
 * What one instance has seen against a candidate, by errors and by ratings.
 *
 * <p>Invariant: the evidence is the mean of the two tests' wealth, so it is itself a bet with the
 * same guarantee. Not thread-safe.
 */
public final class CandidateEvidence {
  private final SequentialTest errors = SequentialTest.create();
  private final SequentialTest ratings = SequentialTest.create();

  private CandidateEvidence() {}

  /** Returns evidence of nothing. */
  public static CandidateEvidence create() {
    return new CandidateEvidence();
  }

  /**
   * Takes in an outcome.
   *
   * @param ofCandidate whether it is the candidate's, not the current version's
   */
  public void add(RolloutGuard.Measure measure, boolean ofCandidate, boolean failed) {
    SequentialTest test = measure == RolloutGuard.Measure.ERRORS ? errors : ratings;
    if (ofCandidate) {
      test.candidate(failed);
    } else {
      test.current(failed);
    }
  }

  /** Returns the logarithm of the evidence; 0 is none. */
  public double logEvidence() {
    return Math.log((Math.exp(errors.logEvidence()) + Math.exp(ratings.logEvidence())) / 2);
  }

  /** Returns whether this instance may halt its own share. */
  public boolean refutesAlone() {
    return RolloutGuard.refutesAlone(logEvidence());
  }
}
