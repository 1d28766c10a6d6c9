// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.oatlug.gateway.Route;
import org.oatlug.internal.rollout.CandidateEvidence;
import org.oatlug.internal.rollout.PairCounts;
import org.oatlug.internal.rollout.RolloutGuard.Measure;

/**
 * What is known of one roll-out that runs: own evidence and that of other instances.
 *
 * <p>Owned by one event loop, not thread-safe.
 */
final class RolloutTrial {
  /**
   * Times are compared only within this span: the old version's answers of an earlier load say
   * nothing of the new one's under the present load.
   */
  private static final Duration COMPARED_WITHIN = Duration.ofSeconds(1);

  /** An answer is late to begin that takes this many times the old version's median. */
  private static final double LATE_FACTOR = 4;

  /** Added to the bound of lateness, in milliseconds, against chance at short times. */
  private static final double LATE_MARGIN_MILLIS = 60;

  /**
   * A version is late only while this share of its answers is. Bad versions are in about half of
   * them; a good one with all requests and cold caches in about one of eight.
   */
  private static final double LEAST_LATE_SHARE = 0.25;

  /**
   * A stream is slow whose events take this many times the old version's median. Slow versions took
   * 1.7 to 5 times the median on the days of both sites, good ones with cold caches 1.4 times.
   */
  private static final double SLOW_FACTOR = 1.8;

  /** Added to the bound of slowness, in milliseconds for an event. */
  private static final double SLOW_MARGIN_MILLIS = 5;

  /** Nearly all streams of a slow version are slow; of a good one on cold engines a quarter. */
  private static final double LEAST_SLOW_SHARE = 0.4;

  private final String version;
  private final long orderedAt;
  private final Instant learnedAt;
  private final CandidateEvidence evidence = CandidateEvidence.create();
  private final Slowness begins = Slowness.above(LATE_FACTOR, LATE_MARGIN_MILLIS, LEAST_LATE_SHARE);
  private final Slowness paces = Slowness.above(SLOW_FACTOR, SLOW_MARGIN_MILLIS, LEAST_SLOW_SHARE);
  private final Map<String, Reported> reports = new HashMap<>();

  private Instant comparedSince = Instant.EPOCH;

  private long answers;
  private boolean refuted;

  private record Reported(PairCounts errors, PairCounts times, long answers) {}

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
    boolean ofCandidate = answer.version().equals(version);
    answers += ofCandidate ? 1 : 0;
    evidence.add(Measure.ERRORS, ofCandidate, answer.failed());
    if (!answer.failed()) {
      String kind = kindOf(answer.route(), answer.model());
      compare(begins.isSlow(kind, answer.took().toMillis(), ofCandidate), ofCandidate, now);
    }
    refuted |= evidence.refutesAlone();
  }

  /** Takes in how fast a stream goes here. */
  void add(VersionRule.Pace pace, Instant now) {
    boolean ofCandidate = pace.version().equals(version);
    String kind = pace.model().isEmpty() ? pace.route().name() : pace.model();
    compare(paces.isSlow(kind, pace.millisPerEvent(), ofCandidate), ofCandidate, now);
    refuted |= evidence.refutesAlone();
  }

  private void compare(boolean slow, boolean ofCandidate, Instant now) {
    if (now.isAfter(comparedSince.plus(COMPARED_WITHIN))) {
      comparedSince = now;
      evidence.forgetUnpaired(Measure.RATINGS);
    }
    evidence.add(Measure.RATINGS, ofCandidate, slow);
  }

  private static String kindOf(Route route, String model) {
    return route.name() + " " + model;
  }

  /** Takes in what another instance has seen. */
  void report(String process, PairCounts errors, PairCounts times, long candidateAnswers) {
    reports.put(process, new Reported(errors, times, candidateAnswers));
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

  /** Returns the own pairs of answers in which just one version failed. */
  PairCounts ownErrors() {
    return evidence.counts(Measure.ERRORS);
  }

  /** Returns the own pairs of answers in which just one version was slow. */
  PairCounts ownTimes() {
    return evidence.counts(Measure.RATINGS);
  }

  /** Returns the answers of the version seen here. */
  long ownAnswers() {
    return answers;
  }

  /** Returns the logarithm of the evidence of all instances. */
  double allEvidence() {
    PairCounts errors = ownErrors();
    PairCounts times = ownTimes();
    for (Reported report : reports.values()) {
      errors = errors.plus(report.errors());
      times = times.plus(report.times());
    }
    return CandidateEvidence.logEvidence(errors, times);
  }

  /** Returns the answers of the version that all instances have seen. */
  long allAnswers() {
    return answers + reports.values().stream().mapToLong(Reported::answers).sum();
  }
}
