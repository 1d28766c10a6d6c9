// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.RouteKind;
import org.oatlug.internal.rollout.ComparedPairs;
import org.oatlug.internal.rollout.OrderAge;
import org.oatlug.internal.rollout.RolloutGuard;
import org.oatlug.internal.rollout.SequentialTest;
import org.oatlug.internal.rollout.VersionEvidence;
import org.oatlug.platform.StoreRevision;

/**
 * Collects the evidence about one running roll-out, from this instance and from others.
 *
 * <p>Owned by one event loop, not thread-safe.
 */
final class RolloutTrial {
  /**
   * The window within which times are compared; times of the old version under an earlier load are
   * not comparable with those of the new version under the present load.
   */
  private static final Duration COMPARISON_WINDOW = Duration.ofSeconds(1);

  /** The multiple of the old version's median above which the head of an answer is late. */
  private static final double LATE_FACTOR = 4;

  /** Margin added to the lateness bound, in milliseconds, against noise at short times. */
  private static final double LATE_MARGIN_MILLIS = 60;

  /**
   * The share of late answers from which on lateness counts against a version. A bad version is
   * late in about half of its answers, a good one with all requests and cold caches in about 1/8.
   */
  private static final double MINIMUM_LATE_SHARE = 0.25;

  /**
   * The logarithm of the evidence over time above which a version is suspicious: four late answers
   * of the new version without one of the old version. Suspicion has to come before most answers of
   * a service with little traffic are those of the new version.
   */
  private static final double SUSPICIOUS_EVIDENCE_OVER_TIME = 1.7;

  /**
   * The multiple of the old version's median event interval above which a stream is slow. Slow
   * versions take 1.7 to 5 times the median, good ones with cold caches 1.4 times.
   */
  private static final double SLOW_FACTOR = 1.8;

  /** Margin added to the slowness bound, in milliseconds per event. */
  private static final double SLOW_MARGIN_MILLIS = 5;

  /**
   * The share of slow streams from which on slowness counts against a version. Nearly all streams
   * of a slow version are slow, and a quarter of those of a good one on cold engines.
   */
  private static final double MINIMUM_SLOW_SHARE = 0.4;

  private final String version;
  private StoreRevision orderedAt;
  private StoreRevision orderedBeforeRestore;
  private final OrderAge age;
  private final SequentialTest failures = SequentialTest.create();
  private final SequentialTest lateness = SequentialTest.create();
  private final SequentialTest slowness = SequentialTest.create();

  /**
   * Compares answers of plain services at different times, so that a version is also compared while
   * it has nearly all requests. Answers of engines depend on their caches.
   */
  private final SequentialTest latenessOverTime = SequentialTest.create();

  private final SlownessDetector headDelays =
      SlownessDetector.withThresholds(LATE_FACTOR, LATE_MARGIN_MILLIS, MINIMUM_LATE_SHARE);
  private final SlownessDetector eventIntervals =
      SlownessDetector.withThresholds(SLOW_FACTOR, SLOW_MARGIN_MILLIS, MINIMUM_SLOW_SHARE);
  private Instant windowStart = Instant.EPOCH;
  private ComparedPairs remotePairs = ComparedPairs.NONE;
  private long localAnswers;
  private long remoteAnswers;
  private int remoteReporters;
  private Instant remoteReportedAt = Instant.EPOCH;
  private int expectedReporters;
  private double share;
  private boolean informed;
  private boolean suspicious;
  private boolean refuted;

  private RolloutTrial(String version, StoreRevision orderedAt, OrderAge age) {
    this.version = version;
    this.orderedAt = orderedAt;
    this.orderedBeforeRestore = orderedAt;
    this.age = age;
  }

  /** Returns a trial without evidence for the version ordered at the revision. */
  static RolloutTrial of(String version, StoreRevision orderedAt, OrderAge age) {
    return new RolloutTrial(version, orderedAt, age);
  }

  /** Returns whether the trial belongs to the order; evidence of an earlier order is ignored. */
  boolean matches(String otherVersion, StoreRevision otherOrderedAt) {
    boolean sameOrder =
        orderedAt.equals(otherOrderedAt) || orderedBeforeRestore.equals(otherOrderedAt);
    return version.equals(otherVersion) && sameOrder;
  }

  /**
   * Adopts the order's new revision if the store was restored since; returns whether the trial
   * belongs to the order.
   */
  boolean adoptOrder(String otherVersion, StoreRevision otherOrderedAt) {
    boolean restored = otherOrderedAt.epoch() > orderedAt.epoch();
    if (restored && version.equals(otherVersion)) {
      orderedBeforeRestore = orderedAt;
      orderedAt = otherOrderedAt;
    }
    return matches(otherVersion, otherOrderedAt);
  }

  /** Returns the revision at which the version was ordered. */
  StoreRevision orderedAt() {
    return orderedAt;
  }

  String version() {
    return version;
  }

  /** Returns the age of the order. */
  OrderAge age() {
    return age;
  }

  /** Adds an answer seen by this instance. */
  void add(VersionRule.Response answer, Instant now) {
    boolean ofCandidate = answer.version().equals(version);
    localAnswers += ofCandidate ? 1 : 0;
    add(failures, ofCandidate, answer.failed());
    if (!answer.failed()) {
      addLateness(answer, now);
    }
    refuted |= RolloutGuard.sufficesForLocalHalt(localEvidence());
  }

  /** Adds the event interval of a stream seen by this instance. */
  void add(VersionRule.EventInterval interval, Instant now) {
    boolean ofCandidate = interval.version().equals(version);
    String group = interval.model().isEmpty() ? interval.route().name() : interval.model();
    resetExpiredWindow(now);
    add(
        slowness,
        ofCandidate,
        eventIntervals.isSlow(group, interval.millisPerEvent(), ofCandidate));
    refuted |= RolloutGuard.sufficesForLocalHalt(localEvidence());
  }

  private static void add(SequentialTest test, boolean ofCandidate, boolean bad) {
    if (ofCandidate) {
      test.recordCandidate(bad);
    } else {
      test.recordCurrent(bad);
    }
  }

  /**
   * Adds a request whose caller or deadline ended it before an answer began. It says something only
   * if it has taken longer than an answer may.
   */
  void addUnanswered(VersionRule.Response request, Instant now) {
    String group = groupOf(request.route(), request.model());
    if (headDelays.exceedsBound(group, request.timeToHead().toMillis())) {
      addLateness(request, now);
      refuted |= RolloutGuard.sufficesForLocalHalt(localEvidence());
    }
  }

  private void addLateness(VersionRule.Response answer, Instant now) {
    resetExpiredWindow(now);
    boolean ofCandidate = answer.version().equals(version);
    String group = groupOf(answer.route(), answer.model());
    boolean late = headDelays.isSlow(group, answer.timeToHead().toMillis(), ofCandidate);
    add(lateness, ofCandidate, late);
    if (answer.model().isEmpty() && answer.route().kind() != RouteKind.STREAM) {
      add(latenessOverTime, ofCandidate, late);
    }
  }

  private void resetExpiredWindow(Instant now) {
    if (now.isAfter(windowStart.plus(COMPARISON_WINDOW))) {
      windowStart = now;
      lateness.discardUnpaired();
      slowness.discardUnpaired();
    }
  }

  private static String groupOf(Route route, String model) {
    return route.name() + " " + model;
  }

  /** Merges all or part of the evidence of the other instances; counts never decrease. */
  void addRemoteEvidence(VersionEvidence remote, Instant now) {
    age.applyReported(remote.ageMillis(), now);
    remotePairs = remotePairs.join(remote.pairs());
    remoteAnswers = Math.max(remoteAnswers, remote.answers());
    remoteReporters = remote.reporters();
    remoteReportedAt = now;
  }

  /**
   * Updates and returns whether the evidence of most instances is known and current.
   *
   * @param liveInstances the number of live instances; instances that were lost since the order
   *     remain expected, as an isolated instance considers all others lost
   */
  boolean updateInformed(int liveInstances, Instant now) {
    expectedReporters = Math.max(expectedReporters, liveInstances);
    boolean current = !now.isAfter(remoteReportedAt.plus(VersionEvidence.CURRENT_FOR));
    int reporters = 1 + (current ? remoteReporters : 0);
    informed = 2 * reporters > expectedReporters;
    return informed;
  }

  /** Returns whether the evidence of most instances was known at the last update. */
  boolean isInformed() {
    return informed;
  }

  /**
   * Returns the share of sessions that the version receives from this instance, which remains at
   * the value that it has reached while it must not rise. While the version is suspicious, its
   * share is the initial one, so that both versions have answers to compare.
   */
  double updateShare(double initialShare, double scheduledShare, boolean mayRise) {
    if (suspicious) {
      share = initialShare;
    } else {
      share = mayRise ? scheduledShare : Math.max(share, initialShare);
    }
    return share;
  }

  /** Updates and returns whether the answers of all instances speak against the version. */
  boolean updateSuspicious() {
    ComparedPairs pairs = totalPairs();
    suspicious =
        RolloutGuard.isSuspicious(pairs.logEvidence())
            || pairs.logEvidenceOverTime() >= SUSPICIOUS_EVIDENCE_OVER_TIME;
    return suspicious;
  }

  /** Returns whether the answers spoke against the version at the last update. */
  boolean isSuspicious() {
    return suspicious;
  }

  /** Marks the version as bad, whichever instance detected it. */
  void refute() {
    refuted = true;
  }

  /** Returns whether this instance knows that the version is bad. */
  boolean isRefuted() {
    return refuted;
  }

  /** Returns the logarithm of the evidence of this instance. */
  double localEvidence() {
    return localPairs().logEvidence();
  }

  /** Returns the compared pairs of answers seen by this instance. */
  ComparedPairs localPairs() {
    return new ComparedPairs(
        failures.counts(), lateness.counts(), slowness.counts(), latenessOverTime.counts());
  }

  /** Returns the compared pairs of answers seen by all instances. */
  ComparedPairs totalPairs() {
    return localPairs().plus(remotePairs);
  }

  /** Returns the number of answers of the version that this instance has seen. */
  long localAnswers() {
    return localAnswers;
  }

  /** Returns the logarithm of the evidence of all instances. */
  double totalEvidence() {
    return totalPairs().logEvidence();
  }

  /** Returns the number of answers of the version that all instances have seen. */
  long totalAnswers() {
    return localAnswers + remoteAnswers;
  }
}
