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

  /** Returns the counts of both. */
  public PairCounts plus(PairCounts other) {
    return new PairCounts(worse + other.worse, better + other.better);
  }
}
