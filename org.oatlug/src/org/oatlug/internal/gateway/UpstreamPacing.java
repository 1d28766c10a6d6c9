// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.gateway.ResponseHead;
import org.oatlug.gateway.ServiceDefinition;
import org.oatlug.internal.engine.FirstTokenForecast;
import org.oatlug.internal.engine.ServiceTimes;
import org.oatlug.internal.engine.UpstreamPaces;
import org.oatlug.internal.gather.LoadReport;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.routing.PredictedResponseCost;
import org.oatlug.internal.table.UpstreamRow;

/**
 * Applies the pace of upstreams to the services for which it is in use: records observed times and
 * supplies factors and predicted times to the selection.
 *
 * <p>Invariant: nothing is recorded for a service, and no report to other instances is made, before
 * the settings or an upstream of the service call for it. Owned by one event loop, not thread-safe.
 */
final class UpstreamPacing {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The minimum interval between log lines about paces, in milliseconds. */
  private static final int LOG_PERIOD_MILLIS = 100;

  /**
   * The share by which each request at an engine prolongs the event interval of the others, as in
   * {@link org.oatlug.internal.routing.PredictedCost}. Without it an engine that gets more requests
   * because it is fast would appear as slow as the others.
   */
  private static final double SLOWDOWN_PER_REQUEST = 0.02;

  private final GatewaySettings.Switch state;
  private final GatewayTables tables;
  private final Meters meters;
  private final UpstreamPaces paces = UpstreamPaces.create();
  private final ServiceTimes times = ServiceTimes.create();

  private UpstreamPacing(GatewaySettings.Switch state, GatewayTables tables, Meters meters) {
    this.state = state;
    this.tables = tables;
    this.meters = meters;
  }

  /** Returns pacing without observations. */
  static UpstreamPacing create(GatewaySettings.Switch state, GatewayTables tables, Meters meters) {
    return new UpstreamPacing(state, tables, meters);
  }

  /**
   * How the pace of an upstream entered its selection.
   *
   * @param active whether the pace is in use for the service
   * @param lasting the lasting pace, 1 if it is not in use
   * @param slowdown the momentary slowdown, 1 if it is not in use
   * @param forecastFactor the factor by which the forecast exceeds that of an upstream of pace 1
   * @param loadFactor the factor by which the load was expected to prolong a plain response
   * @param tieBroken whether the momentary slowdown decided
   */
  record Applied(
      boolean active,
      double lasting,
      double slowdown,
      double forecastFactor,
      double loadFactor,
      boolean tieBroken) {
    /** Pacing that is not in use. */
    static final Applied NONE = new Applied(false, 1, 1, 1, 1, false);

    Applied withTieBroken() {
      return new Applied(active, lasting, slowdown, forecastFactor, loadFactor, true);
    }

    /** Returns the fields of the log line of an attempt, empty if the pace is not in use. */
    String logFields() {
      return active
          ? String.format(" pace=%.2f slowdown=%.2f tieBroken=%b", lasting, slowdown, tieBroken)
          : "";
    }
  }

  /** Returns whether the pace is in use for the upstreams of the service. */
  boolean isActive(String service) {
    return state.isOn(paces.reportsSlowdown(service));
  }

  /** Returns whether the service is known to have no model engines. */
  boolean isPlain(String service) {
    return tables.service(service).flatMap(ServiceDefinition::engine).isEmpty();
  }

  double lastingPaceOf(UpstreamRow row, Instant now) {
    return paces.lastingPaceOf(row.process(), now);
  }

  double momentarySlowdownOf(UpstreamRow row, Instant now) {
    return paces.momentarySlowdownOf(row.process(), now);
  }

  /**
   * Returns the state of a server of a plain service that determines its cost.
   *
   * @param otherZone the zone of the server, empty for the own zone
   */
  PredictedResponseCost.ServerState serverState(
      String service, UpstreamRow row, int slots, String otherZone, boolean avoided, Instant now) {
    return new PredictedResponseCost.ServerState(
        times.serviceMillisOf(service, row.process(), lastingPaceOf(row, now), now),
        tables.upstreamTable().estimatedLoad(row),
        slots,
        times.networkMillisTo(service, otherZone),
        !otherZone.isEmpty(),
        row.failureShare(now),
        row.isCold(now),
        avoided);
  }

  /** Records the load that an upstream reports in a response. */
  void recordLoad(String service, String process, ResponseHead.Load load, Instant now) {
    if (state == GatewaySettings.Switch.OFF) {
      return;
    }
    load.slowdown()
        .ifPresent(
            factor -> {
              paces.recordReported(service, process, factor, now);
              logChange(process, now);
            });
  }

  /** Records the time to first token of an engine. */
  void recordFirstToken(
      UpstreamSelection.CostedUpstream chosen, String process, Duration elapsed, Instant now) {
    String service = chosen.upstream().service();
    if (!isActive(service)) {
      return;
    }
    FirstTokenForecast forecast = chosen.forecast();
    double expected =
        (forecast.waitingMillis() + forecast.prefillMillis()) / chosen.applied().forecastFactor();
    paces.recordFirstToken(service, process, elapsed.toMillis(), expected, now);
    logChange(process, now);
  }

  /** Records the event interval of a stream of an engine. */
  void recordEventInterval(
      UpstreamSelection.CostedUpstream chosen,
      String process,
      String model,
      double millisPerEvent,
      Instant now) {
    String service = chosen.upstream().service();
    if (isActive(service)) {
      double load = tables.upstreamTable().estimatedLoad(chosen.row());
      double unloaded = millisPerEvent / (1 + SLOWDOWN_PER_REQUEST * load);
      paces.recordCompared("interval", service + "/" + model, process, unloaded, now);
      logChange(process, now);
    }
  }

  /**
   * Records the time to the response of a plain service.
   *
   * @param otherZone the zone of the server, empty for the own zone
   */
  void recordResponse(
      UpstreamSelection.CostedUpstream chosen,
      String process,
      String otherZone,
      Duration elapsed,
      Instant now) {
    String service = chosen.upstream().service();
    if (isActive(service) && isPlain(service)) {
      double loadFactor = chosen.applied().loadFactor();
      double millis =
          times.record(service, process, otherZone, elapsed.toMillis(), loadFactor, now);
      paces.recordCompared("response", service, process, millis, now);
      logChange(process, now);
    }
  }

  private void logChange(String process, Instant now) {
    paces
        .takeChange(process, now)
        .ifPresent(
            change -> {
              meters.count("pace.changed");
              logger.atInfo().atMostEvery(LOG_PERIOD_MILLIS, TimeUnit.MILLISECONDS).log(
                  "upstream %s has lasting pace %.2f, before %.2f",
                  process, change.after(), change.before());
            });
  }

  /** Returns the paces that this instance observes, by upstream process. */
  Map<String, LoadReport.PaceObservation> observed(Instant now) {
    Map<String, LoadReport.PaceObservation> observed = new TreeMap<>();
    paces
        .observed(now)
        .forEach(
            (process, pace) ->
                observed.put(
                    process, new LoadReport.PaceObservation(pace.factor(), pace.samples())));
    return observed;
  }

  /** Replaces the paces that the other instances observe. */
  void applyReported(Map<String, LoadReport.PaceObservation> reported, Instant now) {
    if (state == GatewaySettings.Switch.OFF) {
      return;
    }
    Map<String, UpstreamPaces.Pace> others = new TreeMap<>();
    reported.forEach(
        (process, pace) ->
            others.put(process, new UpstreamPaces.Pace(pace.pace(), pace.samples())));
    paces.applyReported(others, now);
  }
}
