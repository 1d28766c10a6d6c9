// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import com.google.common.collect.Maps;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import org.oatlug.internal.gather.LoadReport.WorkspaceLoad;
import org.oatlug.internal.limit.WorkspaceShares;

/** Converts between the shares of workspaces and load reports. */
public final class ShareReports {
  private ShareReports() {}

  /** Returns the report of the demand that these shares measure; empty while they are not used. */
  public static LoadReport reportOf(WorkspaceShares shares, Instant now) {
    if (!shares.isInUse()) {
      return LoadReport.EMPTY;
    }
    Map<String, WorkspaceLoad> workspaces =
        new TreeMap<>(
            Maps.transformValues(
                shares.observed(now), load -> WorkspaceLoad.rounded(load.demand(), load.usual())));
    return new LoadReport(Map.of(), workspaces, Map.of(), 1).bounded();
  }

  /** Applies the report of all other instances. */
  public static void apply(LoadReport others, WorkspaceShares shares, Instant now) {
    shares.applyReported(
        Maps.transformValues(
            others.workspaces(), load -> new WorkspaceShares.Load(load.demand(), load.usual())),
        others.reporters(),
        now);
  }
}
