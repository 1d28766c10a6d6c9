// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import com.google.common.collect.Maps;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.oatlug.internal.gather.LoadReport.WorkspaceLoad;
import org.oatlug.internal.limit.WorkspaceLimits;

/**
 * Exchanges the demand of workspaces of the chat interface, by which their fixed rates are split.
 * Owned by one event loop, not thread-safe.
 */
public final class LimitParticipant implements ExchangeParticipant {
  private final WorkspaceLimits limits;
  private final InstantSource clock;

  private LimitParticipant(WorkspaceLimits limits, InstantSource clock) {
    this.limits = limits;
    this.clock = clock;
  }

  /** Returns the participant that exchanges the demand that these limits measure. */
  public static LimitParticipant of(WorkspaceLimits limits, InstantSource clock) {
    return new LimitParticipant(limits, clock);
  }

  @Override
  public StateReport localReport() {
    Map<String, WorkspaceLoad> workspaces =
        new TreeMap<>(
            Maps.transformValues(
                limits.demand(clock.instant()), demand -> WorkspaceLoad.rounded(demand, 0)));
    return StateReport.ofLoad(new LoadReport(Map.of(), workspaces, Map.of(), 1).bounded());
  }

  @Override
  public void applyReported(StateReport others) {
    Instant now = clock.instant();
    Map<String, WorkspaceLoad> workspaces = others.load().workspaces();
    limits.applyReported(
        Maps.transformValues(workspaces, load -> (double) load.demand()),
        !workspaces.containsKey(LoadReport.OTHER_WORKSPACES),
        others.load().reporters(),
        now);
  }

  @Override
  public List<SessionObservation> drainPendingSessions() {
    return List.of();
  }

  @Override
  public List<SessionObservation> localSessions() {
    return List.of();
  }

  @Override
  public List<SessionObservation> knownSessions() {
    return List.of();
  }

  @Override
  public void applyReportedSessions(List<SessionObservation> sessions) {}
}
