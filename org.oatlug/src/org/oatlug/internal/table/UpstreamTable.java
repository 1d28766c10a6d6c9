// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.table;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * The rows of all upstreams that were met, each by its name and, where that is told, its start.
 * Owned by one event loop, not thread-safe.
 */
public final class UpstreamTable {
  private static final double SMOOTHING = 0.1;
  private static final double OWN_WEIGHT = 0.5;

  private final Map<String, UpstreamRow> rows = new TreeMap<>();
  private double loadPerOwn = 1;

  private UpstreamTable() {}

  /** Returns an empty table. */
  public static UpstreamTable create() {
    return new UpstreamTable();
  }

  /** Returns the row of the upstream, made on first use. */
  public UpstreamRow row(String name) {
    return rows.computeIfAbsent(name, UpstreamRow::new);
  }

  /**
   * Takes in when the process of this name started, and drops the row of an earlier one. The first
   * start that is told belongs to the row there is.
   *
   * @return whether a row was dropped
   */
  public boolean started(String name, long startedAtMillis) {
    boolean other = row(name).isOfAnotherStart(startedAtMillis);
    if (other) {
      rows.put(name, new UpstreamRow(name));
    }
    row(name).startedAt(startedAtMillis);
    return other;
  }

  /** Takes in a load report. */
  public void report(String name, int running, int waiting, boolean leaving) {
    report(row(name), running, waiting, leaving);
  }

  /** Takes in a load report for the start that the row is of, which may have ended. */
  public void report(UpstreamRow of, int running, int waiting, boolean leaving) {
    of.report(running, waiting, leaving);
    int reported = 0;
    int own = 0;
    for (UpstreamRow row : rows.values()) {
      reported += row.reportedLoad();
      own += row.inFlight();
    }
    if (own > 0) {
      double ratio = Math.max(1, (double) reported / own);
      loadPerOwn += SMOOTHING * (ratio - loadPerOwn);
    }
  }

  /**
   * Returns the estimated number of requests at the upstream.
   *
   * <p>The mean of two estimates: the last report with this instance's changes since, which is old,
   * and this instance's own open requests scaled up to all instances, which is coarse. Own requests
   * alone keep instances from choosing alike; reports alone make them.
   */
  public double estimatedLoad(UpstreamRow row) {
    double scaled = row.inFlight() * loadPerOwn;
    return OWN_WEIGHT * scaled + (1 - OWN_WEIGHT) * row.expectedLoad();
  }

  /** Returns all rows, ordered by name. */
  public Collection<UpstreamRow> all() {
    return rows.values();
  }
}
