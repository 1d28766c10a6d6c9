// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import org.oatlug.config.Upstream;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.table.UpstreamTable;

/** Says which upstreams have no place now; implementations keep no state. */
@FunctionalInterface
public interface CapacityRule {
  /** How many requests may wait at an upstream, as a share of its slots. */
  double WAITING_SHARE = 0.25;

  /**
   * Returns whether a request had to wait at the upstream.
   *
   * @param table what is known of all upstreams
   * @param row what is known of this one
   * @param upstream its configuration
   */
  boolean isFull(UpstreamTable table, UpstreamRow row, Upstream upstream);

  /**
   * Returns the rule that an upstream is full when its slots are, and a few requests wait.
   *
   * <p>The few bridge the time in which an instance learns that a slot is free; more of them would
   * bind requests to one upstream while another one has a free slot.
   */
  static CapacityRule slotsAndFewWaiting() {
    return (table, row, upstream) ->
        table.estimatedLoad(row) >= upstream.slots() * (1 + WAITING_SHARE);
  }

  /** Returns the rule that no upstream is ever full. */
  static CapacityRule unbounded() {
    return (table, row, upstream) -> false;
  }
}
