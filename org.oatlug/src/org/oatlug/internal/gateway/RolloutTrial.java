// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
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

  /**
   * Times are compared only within this span: the old version's answers of an earlier load say
   * nothing of the new one's under the present load.
   */
  private static final Duration COMPARED_WITHIN = Duration.ofSeconds(1);

  /** The weight of one answer in the candidate's share of slow ones: the last ten or so count. */
  private static final double SLOW_SMOOTHING = 0.15;

  /**
   * A version is slow only while this share of its answers is. Bad versions are slow in about half
   * of them; a good one with all requests and cold caches in about one of eight, while the old
   * version that it is compared with has no more requests.
   */
  private static final double LEAST_SLOW_SHARE = 0.25;

  private final String version;
  private final long orderedAt;
  private final Instant learnedAt;
  private final CandidateEvidence evidence = CandidateEvidence.create();
  private final Map<String, Double> meanMillis = new HashMap<>();
  private final Map<String, Reported> reports = new HashMap<>();

  private Instant comparedSince = Instant.EPOCH;

  /** At the bound to begin with, so that the first slow answers count. */
  private double slowShare = LEAST_SLOW_SHARE;

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
  void add(VersionRule.Answer answer, Instant now) {
    if (now.isAfter(comparedSince.plus(COMPARED_WITHIN))) {
      comparedSince = now;
      evidence.forgetUnpaired(Measure.RATINGS);
    }
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
    boolean slow = millis > SLOW_FACTOR * mean + SLOW_MARGIN_MILLIS;
    if (!ofCandidate) {
      meanMillis.put(kind, mean + SMOOTHING * (millis - mean));
      return slow;
    }
    slowShare += SLOW_SMOOTHING * ((slow ? 1 : 0) - slowShare);
    return slow && slowShare >= LEAST_SLOW_SHARE;
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
