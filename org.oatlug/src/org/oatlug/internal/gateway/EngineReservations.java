// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.routing.EngineReservation;
import org.oatlug.internal.util.Hashes;

/**
 * Reserves engines of the services that have deferrable routes, see {@link EngineReservation}.
 *
 * <p>Invariants: the engines of an availability zone are reserved by rendezvous rank, so that all
 * instances reserve the same ones, but for a few while their measurements differ; nothing is
 * measured for a service without deferrable routes. Owned by one event loop, not thread-safe.
 */
final class EngineReservations {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The interval between updates: reports of other instances arrive about as often. */
  private static final Duration UPDATE_INTERVAL = Duration.ofMillis(250);

  /**
   * The part of the latency goal that a request has to gain before it uses an engine of the other
   * class.
   */
  private static final double CROSSING_SHARE_OF_GOAL = 0.25;

  private final GatewaySettings.Switch mode;
  private final GatewayTables tables;
  private final ServiceWorkMeter work;
  private final InstantSource clock;
  private final Meters meters;
  private final Map<String, ServiceReservation> services = new HashMap<>();

  private EngineReservations(
      GatewaySettings.Switch mode,
      GatewayTables tables,
      ServiceWorkMeter work,
      InstantSource clock,
      Meters meters) {
    this.mode = mode;
    this.tables = tables;
    this.work = work;
    this.clock = clock;
    this.meters = meters;
  }

  /** Returns reservations without engines. */
  static EngineReservations create(
      GatewaySettings.Switch mode,
      GatewayTables tables,
      ServiceWorkMeter work,
      InstantSource clock,
      Meters meters) {
    return new EngineReservations(mode, tables, work, clock, meters);
  }

  /** The reservation of one service, its engines by name, and the time of its last update. */
  private static final class ServiceReservation {
    private final EngineReservation reservation = EngineReservation.create();
    private Map<String, Boolean> reserved = Map.of();
    private Instant updatedAt = Instant.EPOCH;
  }

  /** Returns which upstreams a request prefers. */
  PlacementPreference preferenceOf(String service, Route route) {
    if (!work.applies(mode, service)) {
      return PlacementPreference.NONE;
    }
    ServiceReservation state = updated(service);
    if (state.reservation.share() == 0) {
      return PlacementPreference.NONE;
    }
    boolean deferrable = tables.deferrableRoutes().contains(service, route);
    double crossingMillis = CROSSING_SHARE_OF_GOAL * route.goalMillis();
    return name -> state.reserved.getOrDefault(name, deferrable) == deferrable ? 0 : crossingMillis;
  }

  private ServiceReservation updated(String service) {
    ServiceReservation state =
        services.computeIfAbsent(service, unused -> new ServiceReservation());
    Instant now = clock.instant();
    if (!now.isBefore(state.updatedAt.plus(UPDATE_INTERVAL))) {
      state.updatedAt = now;
      update(service, state.reservation);
      state.reserved =
          state.reservation.share() == 0 ? Map.of() : reservedOf(service, state.reservation);
    }
    return state;
  }

  private void update(String service, EngineReservation reservation) {
    ServiceWorkMeter.ServiceWork sum = work.workOf(service);
    EngineReservation.Work arriving =
        new EngineReservation.Work(
            sum.deferrableMillis(), sum.otherMillis(), sum.engines(), sum.lengthRatio());
    if (reservation.update(arriving)) {
      meters.count("reservation.changed");
      logger.atInfo().log(
          "service %s: %.2f of %d engines take deferrable requests, work=%.0f other=%.0f age=%d",
          service,
          reservation.share(),
          sum.engines(),
          sum.deferrableMillis(),
          sum.otherMillis(),
          Math.min(Integer.MAX_VALUE, work.ageOfReport().toMillis()));
    }
  }

  /**
   * Returns for each upstream that is not leaving whether it is reserved, without those of
   * availability zones that have too few engines of a version for a reservation.
   */
  private Map<String, Boolean> reservedOf(String service, EngineReservation reservation) {
    Map<String, List<String>> byZoneAndVersion = new HashMap<>();
    for (String name : tables.remainingUpstreamsOf(service)) {
      UpstreamRecord upstream = tables.upstream(name).orElseThrow();
      byZoneAndVersion
          .computeIfAbsent(upstream.zone() + "/" + upstream.version(), unused -> new ArrayList<>())
          .add(name);
    }
    long serviceHash = Hashes.hash64(service);
    Map<String, Boolean> reserved = new HashMap<>();
    for (List<String> names : byZoneAndVersion.values()) {
      int count = reservation.reservedOf(names.size());
      if (count > 0) {
        names.sort(Comparator.comparingLong(name -> tables.row(name).rankFor(serviceHash)));
        for (int index = 0; index < names.size(); index++) {
          reserved.put(names.get(index), index < count);
        }
      }
    }
    return reserved;
  }
}
