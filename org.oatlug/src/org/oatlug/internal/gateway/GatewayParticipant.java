// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.oatlug.internal.engine.PrefillTimeModel;
import org.oatlug.internal.gather.ExchangeParticipant;
import org.oatlug.internal.gather.LoadReport;
import org.oatlug.internal.gather.RefusalReports;
import org.oatlug.internal.gather.SessionObservation;
import org.oatlug.internal.gather.ShareReports;
import org.oatlug.internal.gather.StateReport;

/**
 * Exchanges the gateway's state with other instances: prompts waiting for prefill, prefill models,
 * evidence about versions under roll-out, rate limits and paces of upstreams, the demand of
 * workspaces, the latest refusals and crowded instances. Owned by one event loop, not thread-safe.
 */
public final class GatewayParticipant implements ExchangeParticipant {
  /**
   * The interval at which prefill models and paces are read; each response changes them, but the
   * reported ones may be 1 s old.
   */
  private static final Duration PREFILL_MODELS_INTERVAL = Duration.ofSeconds(1);

  private final GatewayComponents components;
  private final RolloutDirector rollouts;
  private Map<String, PrefillTimeModel> prefillModels = Map.of();
  private Map<String, LoadReport.PaceObservation> paces = Map.of();
  private Instant prefillModelsReadAt = Instant.EPOCH;

  private GatewayParticipant(GatewayComponents components, RolloutDirector rollouts) {
    this.components = components;
    this.rollouts = rollouts;
  }

  /** Returns the participant that exchanges the state of these components. */
  public static GatewayParticipant of(GatewayComponents components, RolloutDirector rollouts) {
    return new GatewayParticipant(components, rollouts);
  }

  @Override
  public StateReport localReport() {
    Instant now = components.clock().instant();
    if (!now.isBefore(prefillModelsReadAt.plus(PREFILL_MODELS_INTERVAL))) {
      paces = components.pacing().observed(now);
      prefillModels = components.prefillEstimates().measured();
      prefillModelsReadAt = now;
    }
    return new StateReport(
        components.prefillBacklog().own(),
        rollouts.evidence(),
        prefillModels,
        components.limits().observed(),
        components.brittle().observed(),
        localLoad(now));
  }

  private LoadReport localLoad(Instant now) {
    LoadReport demand = ShareReports.reportOf(components.shares(), now);
    return new LoadReport(
            paces,
            demand.workspaces(),
            components.prefillWork().own(now),
            demand.reporters(),
            RefusalReports.reportOf(components.refusedCallers().records(), now),
            components.relief().isCrowded() ? 1 : 0)
        .bounded();
  }

  @Override
  public List<SessionObservation> drainPendingSessions() {
    return rollouts.drainPendingSessions();
  }

  @Override
  public List<SessionObservation> localSessions() {
    return rollouts.localSessions();
  }

  @Override
  public List<SessionObservation> knownSessions() {
    return rollouts.knownSessions();
  }

  @Override
  public void applyReported(StateReport remote) {
    components.prefillBacklog().applyReported(remote.openMillis(), components.clock().instant());
    components.pacing().applyReported(remote.load().paces(), components.clock().instant());
    remote.speeds().forEach(components.prefillEstimates()::applyReported);
    remote.evidence().forEach(rollouts::applyReported);
    components.limits().applyReported(remote.limits());
    components.brittle().applyReported(remote.brittle());
    components
        .prefillWork()
        .applyReported(remote.load().workByRank(), components.clock().instant());
    ShareReports.apply(remote.load(), components.shares(), components.clock().instant());
    RefusalReports.apply(
        remote.load(), components.refusedCallers().records(), components.clock().instant());
    components.relief().applyReported(remote.load().crowded(), components.clock().instant());
    components.requestQueue().roomMayBeFree();
  }

  @Override
  public void applyReportedSessions(List<SessionObservation> sessions) {
    sessions.forEach(rollouts::applyReportedSession);
  }
}
