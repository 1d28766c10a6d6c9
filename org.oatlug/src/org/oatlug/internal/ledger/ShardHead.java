// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.ledger;

import java.util.List;

/**
 * Root object of a shard in the platform's object store, which contains or references all entries
 * of the shard that are retained. Immutable.
 *
 * <p>Invariant: it is written only by conditional update and never deleted.
 *
 * @param segments the segments with the older entries, oldest first
 * @param entries the newest entries, in order
 */
record ShardHead(List<Segment> segments, List<LedgerEntry> entries) {
  static final ShardHead EMPTY = new ShardHead(List.of(), List.of());

  /**
   * Reference to an immutable object that contains entries.
   *
   * @param name the name of the object
   * @param sealedMillis creation time, in milliseconds since 1970
   */
  record Segment(String name, long sealedMillis) {}

  /**
   * Content of a segment object.
   *
   * @param entries the entries, oldest first
   */
  record SegmentContent(List<LedgerEntry> entries) {}
}
