// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import org.oatlug.config.Upstream;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.table.UpstreamTable;

/** Decides whether an upstream is full; implementations are stateless. */
@FunctionalInterface
public interface CapacityRule {
  /** The maximum requests that queue at an upstream, as a share of its slots. */
  double QUEUE_SHARE = 0.25;

  /**
   * Returns whether the upstream can take no further request.
   *
   * @param table the state of all upstreams
   * @param row the state of this upstream
   * @param upstream the configuration of this upstream
   */
  boolean isFull(UpstreamTable table, UpstreamRow row, Upstream upstream);

  /**
   * Returns the rule that an upstream is full when its slots are taken and a few requests queue.
   *
   * <p>The short queue covers the delay until an instance learns of a free slot; a longer one would
   * bind requests to this upstream while another has a free slot.
   */
  static CapacityRule slotsAndShortQueue() {
    return (table, row, upstream) ->
        table.estimatedLoad(row) >= upstream.slots() * (1 + QUEUE_SHARE);
  }

  /** Returns the rule that no upstream is full. */
  static CapacityRule unbounded() {
    return (table, row, upstream) -> false;
  }
}
