// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.crash;

import java.util.List;

/**
 * The records of a ledger that changed after a given revision. Immutable.
 *
 * @param records the records
 * @param upTo the revision to continue from
 */
public record CrashUpdate(List<CrashRecord> records, long upTo) {
  /** No records, to continue from the first revision. */
  public static final CrashUpdate NONE = new CrashUpdate(List.of(), 0);

  /** Treats a missing list as empty. */
  public CrashUpdate {
    records = records == null ? List.of() : records;
  }
}
