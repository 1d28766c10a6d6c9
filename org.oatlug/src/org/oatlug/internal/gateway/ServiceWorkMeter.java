// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.oatlug.gateway.GatewaySettings.LoadManagement;
import org.oatlug.gateway.GatewaySettings.Switch;
import org.oatlug.gateway.Route;
import org.oatlug.internal.cascade.EscalationDelay;
import org.oatlug.internal.engine.PrefillWork;
import org.oatlug.internal.gather.LoadReport;
import org.oatlug.internal.routing.EngineReservation;

/**
 * Measures the prefill work that arrives at the engines of services with deferrable routes.
 *
 * <p>Invariant: nothing is measured for a service for which no part of load management needs it.
 * Owned by one event loop, not thread-safe.
 */
final class ServiceWorkMeter {
  private static final double MILLIS_PER_SECOND = 1000;

  /** The interval between measurements; each reads all engines of a service. */
  private static final Duration INTERVAL = Duration.ofMillis(250);

  /** The utilization from which the mean wait of a prefill exceeds half of a prefill. */
  private static final double SHORT_UTILIZATION = 0.5;

  private final LoadManagement settings;
  private final GatewayTables tables;
  private final PrefillWork work;
  private final InstantSource clock;
  private final Map<String, ServiceWork> measured = new HashMap<>();

  private ServiceWorkMeter(
      LoadManagement settings, GatewayTables tables, PrefillWork work, InstantSource clock) {
    this.settings = settings;
    this.tables = tables;
    this.work = work;
    this.clock = clock;
  }

  /** Returns a meter that measures what the parts in use need. */
  static ServiceWorkMeter create(
      LoadManagement settings, GatewayTables tables, PrefillWork work, InstantSource clock) {
    return new ServiceWorkMeter(settings, tables, work, clock);
  }

  /**
   * The prefill work that arrives at a service.
   *
   * @param millisByRank the work by rank, in milliseconds per second
   * @param deferrableMillis the work of deferrable requests, in milliseconds per second
   * @param otherMillis the work of the other requests, in milliseconds per second
   * @param engines the number of engines
   * @param lengthRatio the mean prefill time of a deferrable request at this instance, relative to
   *     that of another
   * @param at the time of the measurement
   */
  record ServiceWork(
      Map<Integer, Double> millisByRank,
      double deferrableMillis,
      double otherMillis,
      int engines,
      double lengthRatio,
      Instant at) {
    private double totalMillis() {
      return deferrableMillis + otherMillis;
    }

    /** Returns the share of the time in which the engines prefill; may exceed 1. */
    double utilization() {
      return engines > 0 ? totalMillis() / (engines * MILLIS_PER_SECOND) : 0;
    }

    /** Returns the share of the work that is at least as urgent as a rank, 1 without work. */
    double urgentShare(int rank) {
      double urgent =
          millisByRank.entrySet().stream()
              .filter(entry -> entry.getKey() <= rank)
              .mapToDouble(Map.Entry::getValue)
              .sum();
      return totalMillis() > 0 ? urgent / totalMillis() : 1;
    }
  }

  /** Returns whether a part of load management applies to the service. */
  boolean applies(Switch part, String service) {
    return part.isOn(tables.deferrableRoutes().hasAny(service));
  }

  /** Records the prefill work of an attempt that is being sent. */
  void recordAttempt(AdmittedRequest request, double prefillMillis) {
    String service = request.service();
    boolean needed =
        applies(settings.reservation(), service)
            || applies(settings.escalation(), service)
            || applies(settings.shares(), service);
    if (needed && prefillMillis > 0) {
      String key = LoadReport.rankKey(service, request.route().priority());
      work.record(key, prefillMillis, clock.instant());
    }
  }

  /** Returns the work of a service, measured within the last {@link #INTERVAL}. */
  ServiceWork workOf(String service) {
    Instant now = clock.instant();
    ServiceWork last = measured.get(service);
    if (last == null || !now.isBefore(last.at().plus(INTERVAL))) {
      last = measure(service, now);
      measured.put(service, last);
    }
    return last;
  }

  private ServiceWork measure(String service, Instant now) {
    double deferrable = 0;
    double other = 0;
    Map<Integer, Double> millisByRank = new HashMap<>();
    for (Map.Entry<Integer, Boolean> rank : tables.deferrableRoutes().ranksOf(service).entrySet()) {
      double millis = work.total(LoadReport.rankKey(service, rank.getKey()), now);
      deferrable += rank.getValue() ? millis : 0;
      other += rank.getValue() ? 0 : millis;
      millisByRank.put(rank.getKey(), millis);
    }
    return new ServiceWork(
        millisByRank, deferrable, other, enginesOf(service), lengthRatioOf(service), now);
  }

  /**
   * Returns the number of engines of the version that has most: during a roll-out nearly all
   * requests go to one version, although each has its own engines.
   */
  private int enginesOf(String service) {
    Map<String, Integer> byVersion = new HashMap<>();
    for (String name : tables.remainingUpstreamsOf(service)) {
      tables
          .upstream(name)
          .ifPresent(upstream -> byVersion.merge(upstream.version(), 1, Integer::sum));
    }
    return byVersion.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  private double lengthRatioOf(String service) {
    OptionalDouble deferrable = meanMillisOf(service, true);
    OptionalDouble other = meanMillisOf(service, false);
    // An instance without requests of both classes follows the reports of the others.
    return deferrable.isPresent() && other.isPresent()
        ? deferrable.getAsDouble() / other.getAsDouble()
        : EngineReservation.MINIMUM_LENGTH_RATIO;
  }

  /** Returns the mean over the ranks that are deferrable or not, empty if no request was sent. */
  private OptionalDouble meanMillisOf(String service, boolean deferrable) {
    return tables.deferrableRoutes().ranksOf(service).entrySet().stream()
        .filter(rank -> rank.getValue() == deferrable)
        .flatMapToDouble(
            rank -> work.meanMillis(LoadReport.rankKey(service, rank.getKey())).stream())
        .average();
  }

  /**
   * Returns whether the engines of the service prefill for so much of the time that requests often
   * wait for each other.
   */
  boolean isCapacityShortAt(String service) {
    return tables.deferrableRoutes().hasAny(service)
        && workOf(service).utilization() >= SHORT_UTILIZATION;
  }

  /** Returns whether capacity is short at any service with a deferrable route. */
  boolean isCapacityShort() {
    return tables.deferrableRoutes().services().stream().anyMatch(this::isCapacityShortAt);
  }

  /** Returns the age of the last report of the other instances. */
  Duration ageOfReport() {
    return work.ageOfReport(clock.instant());
  }

  /** Returns the weight of the delay that an escalation of the route causes to others, 0 to 1. */
  double escalationDelayWeight(String service, Route route) {
    if (!applies(settings.escalation(), service)) {
      return 1;
    }
    ServiceWork arriving = workOf(service);
    return EscalationDelay.weight(arriving.utilization(), arriving.urgentShare(route.priority()));
  }
}
