// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;

/**
 * Which share of the sessions a version under roll-out gets as time goes on.
 *
 * <p>A small fixed share first, so that no session has to change its version while the comparison
 * runs; then the whole share within the bound; then evenly more, so that prompts are read by the
 * new upstreams little by little and a version that fails under load only shows it early; then all,
 * so that the old upstreams are empty when the roll-out ends, because they stop at once. When it
 * has just got all, the version has received less than 13 of 100 requests of the whole duration,
 * which leaves time to find out before the usual bound of 15 and a reserve. Immutable.
 */
final class RolloutSchedule {
  /** Up to this part of the duration sessions stay where they are. */
  private static final double COMPARE_UNTIL = 0.5;

  /** Up to this part the version gets the whole share within the bound. */
  private static final double BOUND_UNTIL = 0.6;

  /** From this part on it gets all; a longer growth would use up the bound. */
  private static final double ALL_FROM = 0.72;

  /** At this part of the duration the roll-out is declared done, if nothing speaks against it. */
  private static final double DONE_AT = 0.92;

  /** What the version gets during the comparison, as a share of the bound. */
  private static final double COMPARE_SHARE_OF_BOUND = 0.6;

  /**
   * How long after an order sessions of which nothing is known stay on the old version: longer than
   * what another instance saw takes to come here, which is up to a second in zones of 30.
   */
  private static final Duration SETTLING = Duration.ofMillis(1500);

  private final double exposureShare;

  private RolloutSchedule(double exposureShare) {
    this.exposureShare = exposureShare;
  }

  /** Returns a schedule for a deployment that bounds the share of a bad version. */
  static RolloutSchedule within(double exposureShare) {
    return new RolloutSchedule(exposureShare);
  }

  /** Returns the share of sessions at a part of the duration, 0 to 1. */
  double shareAt(double part) {
    if (part < COMPARE_UNTIL) {
      return exposureShare * COMPARE_SHARE_OF_BOUND;
    }
    double grown = Math.max(0, (part - BOUND_UNTIL) / (ALL_FROM - BOUND_UNTIL));
    return Math.min(1, exposureShare + (1 - exposureShare) * grown);
  }

  /**
   * Returns whether it may still be unknown here that a session goes on: what was seen shortly
   * before the order is on its way.
   */
  boolean isSettling(Duration age) {
    return age.compareTo(SETTLING) < 0;
  }

  /** Returns whether sessions may move to the version at this part of the duration. */
  boolean sessionsMayMove(double part) {
    return part >= COMPARE_UNTIL;
  }

  /** Returns whether the roll-out has to be decided. */
  boolean isDue(double part) {
    return part >= DONE_AT;
  }
}
