// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Detects slow answers of a version under roll-out against the running median of the old version.
 *
 * <p>Invariant: a slow answer of the new version counts only while a minimum share of its answers
 * is slow, so that a few late ones under load are ignored. Owned by one event loop, not
 * thread-safe.
 */
final class SlownessDetector {
  /**
   * The number of answers of the old version in the running median. A mean would be skewed by the
   * few answers that wait about 1 s behind long prompts; a longer window fills too slowly.
   */
  private static final int COMPARED_ANSWERS = 15;

  /**
   * The weight of one answer in the moving share of slow answers, which spans about the last 10.
   */
  private static final double SHARE_SMOOTHING = 0.15;

  private final double factor;
  private final double marginMillis;
  private final double minimumShare;
  private final Map<String, Deque<Double>> recentMillis = new HashMap<>();
  private double slowShare;

  private SlownessDetector(double factor, double marginMillis, double minimumShare) {
    this.factor = factor;
    this.marginMillis = marginMillis;
    this.minimumShare = minimumShare;
    // Starts at the bound, so that the first slow answers count.
    this.slowShare = minimumShare;
  }

  /**
   * Returns a detector without answers.
   *
   * @param factor the multiple of the old version's median above which an answer is slow
   * @param marginMillis the margin added to that bound against noise at short times, in
   *     milliseconds
   * @param minimumShare the share of slow answers from which on they count
   */
  static SlownessDetector withThresholds(double factor, double marginMillis, double minimumShare) {
    return new SlownessDetector(factor, marginMillis, minimumShare);
  }

  /** Returns whether an answer that takes this time or longer is slow. */
  boolean exceedsBound(String group, double millis) {
    Deque<Double> recent = recentMillis.getOrDefault(group, new ArrayDeque<>());
    return !recent.isEmpty() && millis > factor * medianOf(recent) + marginMillis;
  }

  /**
   * Adds an answer; returns whether it counts as slow.
   *
   * @param group the group of comparable answers, such as those of one model
   * @param ofCandidate whether the answer is the new version's
   */
  boolean isSlow(String group, double millis, boolean ofCandidate) {
    Deque<Double> recent = recentMillis.computeIfAbsent(group, unused -> new ArrayDeque<>());
    boolean slow = exceedsBound(group, millis);
    if (!ofCandidate) {
      if (recent.size() >= COMPARED_ANSWERS) {
        recent.removeFirst();
      }
      recent.addLast(millis);
      return slow;
    }
    slowShare += SHARE_SMOOTHING * ((slow ? 1 : 0) - slowShare);
    return slow && slowShare >= minimumShare;
  }

  private static double medianOf(Deque<Double> values) {
    double[] sorted = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    return sorted[sorted.length / 2];
  }
}
