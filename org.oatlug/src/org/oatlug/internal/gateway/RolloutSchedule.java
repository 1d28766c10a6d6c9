// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * Defines the share of the sessions that a version under roll-out receives over time.
 *
 * <p>The share starts small and fixed, so that no session has to change its version during the
 * comparison. It then rises to the exposure bound, and from there linearly, so that the new
 * upstreams prefill the moved prompts gradually and a version that fails only under load is
 * detected early. It reaches all sessions before the end, because the old upstreams stop as soon as
 * the roll-out ends and have to be drained by then. When the share reaches 1, the version has
 * received less than 13 % of the requests of the whole duration, which leaves time to detect a
 * fault before the usual exposure bound of 15 % is used up, plus a margin. The share does not rise
 * where the evidence of the other instances is missing or speaks against the version: the bound
 * holds for all instances together, and each of them would need as much evidence of its own as all
 * together. Immutable.
 */
final class RolloutSchedule {
  /** The fraction of the duration until which sessions keep their version. */
  private static final double COMPARISON_END = 0.5;

  /** The fraction of the duration until which the share stays within the exposure bound. */
  private static final double BOUND_END = 0.6;

  /** The fraction from which the share is 1; a longer ramp would use up the exposure bound. */
  private static final double FULL_SHARE_START = 0.72;

  /** The fraction until which requests without a session are compared if nothing is certain. */
  private static final double COMPARISON_END_WITHOUT_SESSION = 0.75;

  /** The share of requests without a session while ambiguous, as a fraction of the bound. */
  private static final double AMBIGUOUS_SHARE_OF_BOUND = 0.95;

  /** The fraction at which the roll-out is decided, unless it was rolled back before. */
  private static final double DECISION_POINT = 0.92;

  /** The fraction at which a roll-out is decided on what is known, however little that is. */
  private static final double LAST_DECISION_POINT = 0.95;

  /** The share during the comparison, as a fraction of the exposure bound. */
  private static final double COMPARISON_SHARE_OF_BOUND = 0.6;

  /**
   * The time after an order during which unknown sessions stay on the old version. It exceeds the
   * time for sessions to be replicated from another instance, up to 1 s in zones of 30 instances.
   */
  private static final Duration SETTLING_TIME = Duration.ofMillis(1500);

  private final double exposureShare;

  private RolloutSchedule(double exposureShare) {
    this.exposureShare = exposureShare;
  }

  /**
   * Returns a schedule.
   *
   * @param exposureShare the bound on the share of requests that a bad version may receive, 0 to 1
   */
  static RolloutSchedule withExposureBound(double exposureShare) {
    return new RolloutSchedule(exposureShare);
  }

  /** Returns the bound on the share of requests that a bad version may receive, 0 to 1. */
  double exposureShare() {
    return exposureShare;
  }

  /** Returns the share of sessions, 0 to 1, at a fraction of the duration. */
  double shareAt(double elapsedFraction) {
    if (elapsedFraction < COMPARISON_END) {
      return exposureShare * COMPARISON_SHARE_OF_BOUND;
    }
    double rampFraction =
        Math.max(0, (elapsedFraction - BOUND_END) / (FULL_SHARE_START - BOUND_END));
    return Math.min(1, exposureShare + (1 - exposureShare) * rampFraction);
  }

  /**
   * Returns the share of requests without a session while the responses are ambiguous. They move to
   * the old version at once if the new one is refuted, so that their share may be just below the
   * exposure bound until the end.
   */
  double ambiguousShare() {
    return exposureShare * AMBIGUOUS_SHARE_OF_BOUND;
  }

  /** Returns the fraction until which requests without a session are compared. */
  double comparisonEndWithoutSession() {
    return COMPARISON_END_WITHOUT_SESSION;
  }

  /**
   * Returns the share of sessions, 0 to 1, at a fraction of the duration, if the responses were
   * ambiguous before.
   *
   * @param clearSince the fraction since which they are not
   */
  double delayedShareAt(double elapsedFraction, double clearSince) {
    return shareAt(elapsedFraction - Math.max(0, clearSince - BOUND_END));
  }

  /**
   * Returns whether the share rises later than by the schedule.
   *
   * @param clearSince the fraction since which the responses are not ambiguous, empty if unknown
   */
  boolean isDelayed(OptionalDouble clearSince) {
    return clearSince.isPresent() && clearSince.getAsDouble() > BOUND_END;
  }

  /**
   * Returns whether a session that continues may still be unknown here, because sessions seen
   * shortly before the order are still being replicated.
   */
  boolean isSettling(Duration age) {
    return age.compareTo(SETTLING_TIME) < 0;
  }

  /** Returns whether known sessions may move to the version at this fraction of the duration. */
  boolean sessionsMayMove(double elapsedFraction) {
    return elapsedFraction >= COMPARISON_END;
  }

  /**
   * Returns whether the roll-out is to be decided at this fraction of the duration.
   *
   * @param informed whether the evidence of all instances is known
   */
  boolean isDecisionDue(double elapsedFraction, boolean informed) {
    return elapsedFraction >= (informed ? DECISION_POINT : LAST_DECISION_POINT);
  }
}
