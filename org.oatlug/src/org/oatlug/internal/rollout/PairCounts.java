// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.rollout;

/**
 * Counts of the outcome pairs in which exactly one version failed. Immutable.
 *
 * <p>Instances exchange counts instead of evidence, because only counts can be added without a loss
 * of information.
 *
 * @param worse the pairs in which only the candidate failed
 * @param better the pairs in which only the current version failed
 */
public record PairCounts(long worse, long better) {
  /** Counts of zero. */
  public static final PairCounts NONE = new PairCounts(0, 0);

  /** Exceeds the pairs of one version at all instances; larger counts are rejected as invalid. */
  private static final long MAXIMUM_COUNT = 1_000_000_000L;

  /** Returns the later of two states of the same counts, which never decrease. */
  public PairCounts join(PairCounts other) {
    return new PairCounts(Math.max(worse, other.worse), Math.max(better, other.better));
  }

  /** Returns whether both counts are in their valid range. */
  public boolean isSound() {
    return worse >= 0 && better >= 0 && worse <= MAXIMUM_COUNT && better <= MAXIMUM_COUNT;
  }

  /** Returns the sum of the counts. */
  public PairCounts plus(PairCounts other) {
    return new PairCounts(worse + other.worse, better + other.better);
  }
}
