// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.oatlug.internal.gather.LoadReport.RefusedRequest;
import org.oatlug.internal.limit.RefusalRecords;
import org.oatlug.internal.limit.RefusalRecords.Refused;

/** Converts between records of refusals, whose times are absolute, and load reports. */
public final class RefusalReports {
  private RefusalReports() {}

  /** Returns the newest refusals of this instance, the newest first. */
  public static List<RefusedRequest> reportOf(RefusalRecords records, Instant now) {
    return LoadReport.newestFirst(
        records.newest(LoadReport.MAXIMUM_OWN_REFUSED, now).stream()
            .map(
                refused ->
                    new RefusedRequest(
                        refused.content(),
                        (int) Duration.between(now, refused.returnAt()).toMillis(),
                        (int) Duration.between(refused.refusedAt(), now).toMillis()))
            .toList());
  }

  /** Applies the report of all other instances. */
  public static void apply(LoadReport others, RefusalRecords records, Instant now) {
    records.applyReported(
        others.refused().stream()
            .map(
                refused ->
                    new Refused(
                        refused.content(),
                        now.minusMillis(refused.ageMillis()),
                        now.plusMillis(refused.untilMillis())))
            .toList(),
        now);
  }
}
