// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.crash;

import java.util.List;

/**
 * The records of a ledger that changed after some revision. Immutable.
 *
 * @param records the records
 * @param upTo the revision from which to go on
 */
public record CrashNews(List<CrashRecord> records, long upTo) {
  /** Nothing, read from the beginning. */
  public static final CrashNews NONE = new CrashNews(List.of(), 0);

  /** Takes a missing list for an empty one. */
  public CrashNews {
    records = records == null ? List.of() : records;
  }
}
