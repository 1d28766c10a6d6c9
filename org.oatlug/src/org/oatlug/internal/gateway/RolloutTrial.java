// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.oatlug.internal.rollout.CandidateEvidence;
import org.oatlug.internal.rollout.RolloutGuard.Measure;

/**
 * What is known of one roll-out that runs: own evidence and that of other instances.
 *
 * <p>Owned by one event loop, not thread-safe.
 */
final class RolloutTrial {
  /** An answer is slow that takes this many times the old version's mean. */
  private static final double SLOW_FACTOR = 3;

  /** Added to the bound of slowness, in milliseconds, against chance at short times. */
  private static final double SLOW_MARGIN_MILLIS = 60;

  /** The weight of one answer in the running means. */
  private static final double SMOOTHING = 0.1;

  private final String version;
  private final long orderedAt;
  private final Instant learnedAt;
  private final CandidateEvidence evidence = CandidateEvidence.create();
  private final Map<String, Double> meanMillis = new HashMap<>();
  private final Map<String, Reported> reports = new HashMap<>();
  private long answers;
  private boolean refuted;

  private record Reported(double logEvidence, long answers) {}

  private RolloutTrial(String version, long orderedAt, Instant learnedAt) {
    this.version = version;
    this.orderedAt = orderedAt;
    this.learnedAt = learnedAt;
  }

  /** Returns a trial of the version without evidence, for the order made at the revision. */
  static RolloutTrial of(String version, long orderedAt, Instant now) {
    return new RolloutTrial(version, orderedAt, now);
  }

  /**
   * Returns whether the trial belongs to the order; what an earlier order showed counts no more.
   */
  boolean isOf(String otherVersion, long otherOrderedAt) {
    return version.equals(otherVersion) && orderedAt == otherOrderedAt;
  }

  /** Returns the revision at which the version was ordered. */
  long orderedAt() {
    return orderedAt;
  }

  String version() {
    return version;
  }

  /** Returns when this instance learned of the roll-out. */
  Instant learnedAt() {
    return learnedAt;
  }

  /** Takes in an answer seen here. */
  void add(VersionRule.Answer answer) {
    boolean ofCandidate = answer.version().equals(version);
    answers += ofCandidate ? 1 : 0;
    evidence.add(Measure.ERRORS, ofCandidate, answer.failed());
    if (!answer.failed()) {
      evidence.add(Measure.RATINGS, ofCandidate, isSlow(answer, ofCandidate));
    }
    refuted |= evidence.refutesAlone();
  }

  private boolean isSlow(VersionRule.Answer answer, boolean ofCandidate) {
    String kind = answer.route().name() + " " + answer.model();
    double millis = answer.took().toMillis();
    double mean = meanMillis.getOrDefault(kind, millis);
    if (!ofCandidate) {
      meanMillis.put(kind, mean + SMOOTHING * (millis - mean));
    }
    return millis > SLOW_FACTOR * mean + SLOW_MARGIN_MILLIS;
  }

  /** Takes in what another instance has seen. */
  void report(String process, double logEvidence, long candidateAnswers) {
    reports.put(process, new Reported(logEvidence, candidateAnswers));
  }

  /** Notes that the version is bad, whoever found it. */
  void refute() {
    refuted = true;
  }

  /** Returns whether the version is bad as far as this instance knows. */
  boolean isRefuted() {
    return refuted;
  }

  /** Returns the logarithm of the own evidence. */
  double ownEvidence() {
    return evidence.logEvidence();
  }

  /** Returns the answers of the version seen here. */
  long ownAnswers() {
    return answers;
  }

  /** Returns the logarithm of the evidence of all instances. */
  double allEvidence() {
    return ownEvidence() + reports.values().stream().mapToDouble(Reported::logEvidence).sum();
  }

  /** Returns the answers of the version that all instances have seen. */
  long allAnswers() {
    return answers + reports.values().stream().mapToLong(Reported::answers).sum();
  }
}
