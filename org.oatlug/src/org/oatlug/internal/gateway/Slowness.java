// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Which answers of a version under roll-out are slow, by the running median of the old version.
 *
 * <p>Invariant: a slow answer of the new version counts only while a least share of its answers is
 * slow, so that a few late ones under load are not held against it. Owned by one event loop, not
 * thread-safe.
 */
final class Slowness {
  /**
   * The answers of the old version whose median counts. A mean would follow the few answers that
   * wait for a second behind long prompts, and more answers take too long to come.
   */
  private static final int COMPARED_ANSWERS = 15;

  /** The weight of one answer in the share of slow ones: the last ten or so count. */
  private static final double SHARE_SMOOTHING = 0.15;

  private final double factor;
  private final double marginMillis;
  private final double leastShare;
  private final Map<String, Deque<Double>> lastMillis = new HashMap<>();
  private double share;

  private Slowness(double factor, double marginMillis, double leastShare) {
    this.factor = factor;
    this.marginMillis = marginMillis;
    this.leastShare = leastShare;
    // At the bound to begin with, so that the first slow answers count.
    this.share = leastShare;
  }

  /**
   * Returns a measure that has seen nothing.
   *
   * @param factor an answer is slow that takes this many times the old version's median
   * @param marginMillis added to that bound against chance at short times, in milliseconds
   * @param leastShare the share of slow answers from which on they count
   */
  static Slowness above(double factor, double marginMillis, double leastShare) {
    return new Slowness(factor, marginMillis, leastShare);
  }

  /**
   * Takes in an answer; returns whether it counts as slow.
   *
   * @param kind what the answer is compared within, such as the answers of one model
   * @param ofCandidate whether it is the new version's
   */
  boolean isSlow(String kind, double millis, boolean ofCandidate) {
    Deque<Double> last = lastMillis.computeIfAbsent(kind, unused -> new ArrayDeque<>());
    boolean slow = !last.isEmpty() && millis > factor * medianOf(last) + marginMillis;
    if (!ofCandidate) {
      if (last.size() >= COMPARED_ANSWERS) {
        last.removeFirst();
      }
      last.addLast(millis);
      return slow;
    }
    share += SHARE_SMOOTHING * ((slow ? 1 : 0) - share);
    return slow && share >= leastShare;
  }

  private static double medianOf(Deque<Double> values) {
    double[] sorted = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    return sorted[sorted.length / 2];
  }
}
