// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.gateway.Route;
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

  /** The reservation of one service and the time of its last update. */
  private static final class ServiceReservation {
    private final EngineReservation reservation = EngineReservation.create();
    private Instant updatedAt = Instant.EPOCH;
  }

  /** Returns which upstreams a request prefers. */
  PlacementPreference preferenceOf(String service, Route route) {
    if (!work.applies(mode, service)) {
      return PlacementPreference.NONE;
    }
    EngineReservation reservation = updated(service, route);
    if (reservation.share() == 0) {
      return PlacementPreference.NONE;
    }
    boolean deferrable = tables.deferrableRoutes().contains(service, route);
    double crossingMillis = CROSSING_SHARE_OF_GOAL * route.goalMillis();
    return upstreams -> {
      Map<String, Boolean> reserved = reservedOf(service, reservation, upstreams);
      return name -> reserved.getOrDefault(name, deferrable) == deferrable ? 0 : crossingMillis;
    };
  }

  private EngineReservation updated(String service, Route route) {
    ServiceReservation state =
        services.computeIfAbsent(service, unused -> new ServiceReservation());
    Instant now = clock.instant();
    if (!now.isBefore(state.updatedAt.plus(UPDATE_INTERVAL))) {
      state.updatedAt = now;
      update(service, route, state.reservation);
    }
    return state.reservation;
  }

  private void update(String service, Route route, EngineReservation reservation) {
    ServiceWorkMeter.ServiceWork sum = work.workOf(service, route);
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
   * Returns for each upstream whether it is reserved, without those of availability zones that have
   * too few engines for a reservation.
   */
  private static Map<String, Boolean> reservedOf(
      String service,
      EngineReservation reservation,
      Collection<PlacementPreference.Candidate> upstreams) {
    Map<String, List<PlacementPreference.Candidate>> byZone = new HashMap<>();
    for (PlacementPreference.Candidate candidate : upstreams) {
      byZone
          .computeIfAbsent(candidate.upstream().zone(), unused -> new ArrayList<>())
          .add(candidate);
    }
    long serviceHash = Hashes.hash64(service);
    Map<String, Boolean> reserved = new HashMap<>();
    for (List<PlacementPreference.Candidate> zone : byZone.values()) {
      int count = reservation.reservedOf(zone.size());
      if (count > 0) {
        zone.sort(Comparator.comparingLong(candidate -> candidate.row().rankFor(serviceHash)));
        for (int index = 0; index < zone.size(); index++) {
          reserved.put(zone.get(index).name(), index < count);
        }
      }
    }
    return reserved;
  }
}
