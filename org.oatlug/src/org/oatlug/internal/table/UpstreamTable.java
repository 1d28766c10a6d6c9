// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.table;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Table of all upstreams that this instance has seen, by name. A row belongs to one process of the
 * upstream, if start times are reported. Owned by one event loop, not thread-safe.
 */
public final class UpstreamTable {
  private static final double SMOOTHING = 0.1;
  private static final double OWN_WEIGHT = 0.5;

  private final Map<String, UpstreamRow> rows = new TreeMap<>();
  private double loadPerOwnRequest = 1;

  private UpstreamTable() {}

  /** Returns an empty table. */
  public static UpstreamTable create() {
    return new UpstreamTable();
  }

  /** Returns the row of the upstream, created on first use. */
  public UpstreamRow row(String name) {
    return rows.computeIfAbsent(name, UpstreamRow::new);
  }

  /**
   * Sets the start time of the upstream process, and replaces the row if it belongs to a different
   * process. A row without a start time is assumed to belong to this process.
   *
   * @param startedAtMillis the start time, in milliseconds since 1970
   * @return whether the row was replaced
   */
  public boolean started(String name, long startedAtMillis) {
    boolean replaced = row(name).hasDifferentStart(startedAtMillis);
    if (replaced) {
      rows.put(name, new UpstreamRow(name));
    }
    row(name).startedAt(startedAtMillis);
    return replaced;
  }

  /** Applies a load report. */
  public void report(String name, int running, int waiting, boolean leaving) {
    report(row(name), running, waiting, leaving);
  }

  /** Applies a load report for the process of the row, which may have ended. */
  public void report(UpstreamRow reporter, int running, int waiting, boolean leaving) {
    reporter.report(running, waiting, leaving);
    int totalReportedLoad = 0;
    int totalOwnLoad = 0;
    for (UpstreamRow row : rows.values()) {
      totalReportedLoad += row.reportedLoad();
      totalOwnLoad += row.inFlight();
    }
    if (totalOwnLoad > 0) {
      double ratio = Math.max(1, (double) totalReportedLoad / totalOwnLoad);
      loadPerOwnRequest += SMOOTHING * (ratio - loadPerOwnRequest);
    }
  }

  /**
   * Returns the estimated number of requests at the upstream.
   *
   * <p>It is the mean of two estimates: the last report adjusted by this instance's changes since
   * then, which is stale, and this instance's open requests scaled up to all instances, which is
   * imprecise. With reports alone all instances would choose the same upstream; the own requests
   * make their choices differ.
   */
  public double estimatedLoad(UpstreamRow row) {
    double scaled = row.inFlight() * loadPerOwnRequest;
    return OWN_WEIGHT * scaled + (1 - OWN_WEIGHT) * row.expectedLoad();
  }

  /** Returns all rows, ordered by name. */
  public Collection<UpstreamRow> all() {
    return rows.values();
  }
}
