// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import org.oatlug.gateway.Route;
import org.oatlug.internal.rollout.ComparedPairs;
import org.oatlug.internal.rollout.OrderAge;
import org.oatlug.internal.rollout.RolloutGuard;
import org.oatlug.internal.rollout.SequentialTest;
import org.oatlug.internal.rollout.VersionEvidence;
import org.oatlug.platform.StoreRevision;

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
  private StoreRevision orderedAt;
  private StoreRevision orderedBeforeRestore;
  private final OrderAge age;
  private final SequentialTest failures = SequentialTest.create();
  private final SequentialTest lateness = SequentialTest.create();
  private final SequentialTest slowness = SequentialTest.create();
  private final Slowness begins = Slowness.above(LATE_FACTOR, LATE_MARGIN_MILLIS, LEAST_LATE_SHARE);
  private final Slowness paces = Slowness.above(SLOW_FACTOR, SLOW_MARGIN_MILLIS, LEAST_SLOW_SHARE);
  private Instant comparedSince = Instant.EPOCH;
  private ComparedPairs seenByOthers = ComparedPairs.NONE;
  private long answers;
  private long answersOfOthers;
  private boolean refuted;

  private RolloutTrial(String version, StoreRevision orderedAt, OrderAge age) {
    this.version = version;
    this.orderedAt = orderedAt;
    this.orderedBeforeRestore = orderedAt;
    this.age = age;
  }

  /** Returns a trial of the version without evidence, for the order made at the revision. */
  static RolloutTrial of(String version, StoreRevision orderedAt, OrderAge age) {
    return new RolloutTrial(version, orderedAt, age);
  }

  /**
   * Returns whether the trial belongs to the order; what an earlier order showed counts no more.
   */
  boolean isOf(String otherVersion, StoreRevision otherOrderedAt) {
    boolean sameOrder =
        orderedAt.equals(otherOrderedAt) || orderedBeforeRestore.equals(otherOrderedAt);
    return version.equals(otherVersion) && sameOrder;
  }

  /**
   * Continues with an order that the store shows at another revision since it was restored; returns
   * whether the trial belongs to the order.
   */
  boolean continuesAs(String otherVersion, StoreRevision otherOrderedAt) {
    boolean restored = otherOrderedAt.epoch() > orderedAt.epoch();
    if (restored && version.equals(otherVersion)) {
      orderedBeforeRestore = orderedAt;
      orderedAt = otherOrderedAt;
    }
    return isOf(otherVersion, otherOrderedAt);
  }

  /** Returns the revision at which the version was ordered. */
  StoreRevision orderedAt() {
    return orderedAt;
  }

  String version() {
    return version;
  }

  /** Returns how long ago the order was made. */
  OrderAge age() {
    return age;
  }

  /** Takes in an answer seen here. */
  void add(VersionRule.Answer answer, Instant now) {
    boolean ofCandidate = answer.version().equals(version);
    answers += ofCandidate ? 1 : 0;
    add(failures, ofCandidate, answer.failed());
    if (!answer.failed()) {
      forgetOldTimes(now);
      String kind = kindOf(answer.route(), answer.model());
      add(lateness, ofCandidate, begins.isSlow(kind, answer.took().toMillis(), ofCandidate));
    }
    refuted |= RolloutGuard.refutesAlone(ownEvidence());
  }

  /** Takes in how fast a stream goes here. */
  void add(VersionRule.Pace pace, Instant now) {
    boolean ofCandidate = pace.version().equals(version);
    String kind = pace.model().isEmpty() ? pace.route().name() : pace.model();
    forgetOldTimes(now);
    add(slowness, ofCandidate, paces.isSlow(kind, pace.millisPerEvent(), ofCandidate));
    refuted |= RolloutGuard.refutesAlone(ownEvidence());
  }

  private static void add(SequentialTest test, boolean ofCandidate, boolean bad) {
    if (ofCandidate) {
      test.candidate(bad);
    } else {
      test.current(bad);
    }
  }

  private void forgetOldTimes(Instant now) {
    if (now.isAfter(comparedSince.plus(COMPARED_WITHIN))) {
      comparedSince = now;
      lateness.forgetUnpaired();
      slowness.forgetUnpaired();
    }
  }

  private static String kindOf(Route route, String model) {
    return route.name() + " " + model;
  }

  /** Takes in what all other instances have seen, or a part of it; counts never shrink. */
  void heard(VersionEvidence others, Instant now) {
    age.heard(others.ageMillis(), now);
    seenByOthers = seenByOthers.join(others.pairs());
    answersOfOthers = Math.max(answersOfOthers, others.answers());
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
    return ownSeen().logEvidence();
  }

  /** Returns the pairs of answers seen here. */
  ComparedPairs ownSeen() {
    return new ComparedPairs(failures.counts(), lateness.counts(), slowness.counts());
  }

  /** Returns the answers of the version seen here. */
  long ownAnswers() {
    return answers;
  }

  /** Returns the logarithm of the evidence of all instances. */
  double allEvidence() {
    return ownSeen().plus(seenByOthers).logEvidence();
  }

  /** Returns the answers of the version that all instances have seen. */
  long allAnswers() {
    return answers + answersOfOthers;
  }
}
