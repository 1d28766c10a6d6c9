// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.rollout;

/**
 * In how many pairs of outcomes just one version failed. Immutable.
 *
 * <p>The counts of several instances can be added up; their evidence cannot be without a loss.
 *
 * @param worse the pairs in which just the candidate failed
 * @param better the pairs in which just the current version failed
 */
public record PairCounts(long worse, long better) {
  /** No pair at all. */
  public static final PairCounts NONE = new PairCounts(0, 0);

  /** More pairs than all instances see of one version; larger numbers are taken for errors. */
  private static final long MOST = 1_000_000_000L;

  /** Returns the later of two states of the same counts, which only grow. */
  public PairCounts join(PairCounts other) {
    return new PairCounts(Math.max(worse, other.worse), Math.max(better, other.better));
  }

  /** Returns whether both are numbers that a count can have. */
  public boolean isSound() {
    return worse >= 0 && better >= 0 && worse <= MOST && better <= MOST;
  }

  /** Returns the counts of both. */
  public PairCounts plus(PairCounts other) {
    return new PairCounts(worse + other.worse, better + other.better);
  }
}
