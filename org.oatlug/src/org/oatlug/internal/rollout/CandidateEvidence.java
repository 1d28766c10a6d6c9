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
    SequentialTest test = testOf(measure);
    if (ofCandidate) {
      test.candidate(failed);
    } else {
      test.current(failed);
    }
  }

  private SequentialTest testOf(RolloutGuard.Measure measure) {
    return measure == RolloutGuard.Measure.ERRORS ? errors : ratings;
  }

  /** Drops the outcomes that have no counterpart yet, so that later ones meet only later ones. */
  public void forgetUnpaired(RolloutGuard.Measure measure) {
    testOf(measure).forgetUnpaired();
  }

  /** Returns the logarithm of the evidence; 0 is none. */
  public double logEvidence() {
    return logEvidence(errors.counts(), ratings.counts());
  }

  /**
   * Returns the logarithm of the evidence of two measures: the mean of both, so that looking at two
   * makes no false alarm likelier.
   */
  public static double logEvidence(PairCounts errors, PairCounts ratings) {
    double ofErrors = Math.exp(SequentialTest.logEvidence(errors));
    double ofRatings = Math.exp(SequentialTest.logEvidence(ratings));
    return Math.log((ofErrors + ofRatings) / 2);
  }

  /** Returns the pairs of one measure in which just one version failed. */
  public PairCounts counts(RolloutGuard.Measure measure) {
    return testOf(measure).counts();
  }

  /** Returns whether this instance may halt its own share. */
  public boolean refutesAlone() {
    return logEvidence() >= -Math.log(RolloutGuard.ALPHA_ALONE);
  }
}
