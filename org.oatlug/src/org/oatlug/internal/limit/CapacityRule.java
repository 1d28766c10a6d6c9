// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import org.oatlug.config.Upstream;
import org.oatlug.internal.table.UpstreamRow;

/** Says which upstreams are too full for a priority; implementations keep no state. */
@FunctionalInterface
public interface SheddingRule {

  /**
   * Returns whether a request of the priority, from 0 to 9, had to wait too long there.
   *
   * @param row what is known of the upstream
   * @param upstream its configuration
   */
  boolean isFull(UpstreamRow row, Upstream upstream, int priority);

  /**
   * Returns the rule that lets a queue grow to a share of the slots that rises with the priority.
   *
   * <p>Requests that would wait behind a longer queue than that miss their deadline anyway, and
   * make others miss theirs.
   */
  static SheddingRule byPriority() {
    return (row, upstream, priority) -> {
      double allowed = upstream.slots() * (LEAST_QUEUE + QUEUE_PER_PRIORITY * priority);
      return row.expectedLoad() - upstream.slots() >= allowed;
    };
  }

  /** Returns the rule that never sheds. */
  static SheddingRule never() {
    return (row, upstream, priority) -> false;
  }

  /** The queue that the lowest priority may join, as a share of the slots. */
  double LEAST_QUEUE = 0.25;

  /** What each step of priority adds to it. */
  double QUEUE_PER_PRIORITY = 0.15;
}
