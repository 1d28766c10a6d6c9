// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.ledger;

import java.util.List;

/**
 * The object at the platform that names all entries of a shard. Immutable.
 *
 * <p>Invariant: it is only written by conditional update and never deleted.
 *
 * @param segments the segments with the older entries, oldest first
 * @param entries the newest entries, in order
 */
record ShardHead(List<Segment> segments, List<LedgerEntry> entries) {
  static final ShardHead EMPTY = new ShardHead(List.of(), List.of());

  /**
   * A reference to an immutable object with entries.
   *
   * @param name the name of the object
   * @param sealedMillis when it was made, in milliseconds since 1970
   */
  record Segment(String name, long sealedMillis) {}

  /**
   * The content of a segment object.
   *
   * @param entries the entries, in order
   */
  record SegmentContent(List<LedgerEntry> entries) {}
}
