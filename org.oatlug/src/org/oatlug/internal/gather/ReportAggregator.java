// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import com.google.common.collect.Maps;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oatlug.internal.engine.PrefillBacklog;
import org.oatlug.internal.util.BoundedMap;

/**
 * Aggregates, at a collector, the reports of the instances of its availability zone and of the
 * other zones.
 *
 * <p>Load pattern: the report of every instance changes several times a second, and each instance
 * needs the sum of all others. If each sent its report to all others, the number of messages would
 * be quadratic in the number of instances; through collectors each instance sends and receives one.
 * Invariants: each instance and each zone counts once, with its latest report; if no further report
 * arrives, its pending prompts count for {@link PrefillBacklog#VALIDITY} and its evidence for
 * {@link #EVIDENCE_VALIDITY}. Owned by one event loop, not thread-safe.
 */
final class ReportAggregator {
  /** Bounds the instances of a zone at the design size, with those replaced within a day. */
  private static final int MAXIMUM_INSTANCES = 1024;

  /** Several times the number of availability zones at the design size. */
  private static final int MAXIMUM_ZONES = 64;

  /** The interval between unchanged reports, short enough that pending prompts do not expire. */
  static final Duration REFRESH_INTERVAL = PrefillBacklog.VALIDITY.dividedBy(4);

  /** The time for which evidence of a stopped instance or a partitioned zone is retained. */
  static final Duration EVIDENCE_VALIDITY = Duration.ofSeconds(60);

  private final Map<String, Received> instances = BoundedMap.withMaximumSize(MAXIMUM_INSTANCES);
  private final Map<String, Received> zones = BoundedMap.withMaximumSize(MAXIMUM_ZONES);

  /**
   * Up to this number of instances, the load is added up for each response, which takes little time
   * and has no age.
   */
  private static final int MAXIMUM_ADDED = 64;

  /** No longer than the interval between zones. */
  private static final Duration LOAD_SUM_INTERVAL = Duration.ofMillis(300);

  /**
   * Refusals are never added up for each response: in 100 responses a second of a zone of 64
   * instances with 64 refusals each, that would take 1.6 million operations a second.
   */
  private static final Duration REFUSAL_SUM_INTERVAL = Duration.ofMillis(100);

  private final LoadTotals loads = LoadTotals.create(LOAD_SUM_INTERVAL);
  private final LoadTotals refusals = LoadTotals.create(REFUSAL_SUM_INTERVAL);

  private record Received(StateReport report, Instant receivedAt) {
    StateReport asOf(Instant now) {
      if (now.isAfter(receivedAt.plus(EVIDENCE_VALIDITY))) {
        return StateReport.EMPTY;
      }
      StateReport aged = report.aged(Duration.between(receivedAt, now));
      return now.isAfter(receivedAt.plus(PrefillBacklog.VALIDITY))
          ? aged.withoutPendingPrompts()
          : aged;
    }
  }

  private ReportAggregator() {}

  /** Returns an aggregator without reports. */
  static ReportAggregator create() {
    return new ReportAggregator();
  }

  /** Stores the report of an instance of this zone; the process name includes its epoch. */
  void putInstance(String process, StateReport report, Instant now) {
    instances.merge(process, new Received(report, now), ReportAggregator::join);
  }

  /** Stores the aggregated report of another zone. */
  void putZone(String zone, StateReport report, Instant now) {
    zones.merge(zone, new Received(report, now), ReportAggregator::join);
  }

  private static Received join(Received previous, Received current) {
    return new Received(current.report().joinEarlier(previous.report()), current.receivedAt());
  }

  /** Returns the number of refuted versions in the aggregate of all zones. */
  long refuted(Instant now) {
    // The aggregate has a refuted version only if a report has one; it takes long to compute.
    return anyRefuted(instances) || anyRefuted(zones) ? sumExcept("", now).refuted() : 0;
  }

  private static boolean anyRefuted(Map<String, Received> reports) {
    for (Received received : reports.values()) {
      if (received.report().refuted() > 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns the aggregate of this zone. */
  StateReport sumOfZone(Instant now) {
    return sumOfInstancesExcept("", now);
  }

  /** Returns the aggregate of all zones without the given process. */
  StateReport sumExcept(String process, Instant now) {
    List<StateReport> reports = new ArrayList<>();
    reports.add(sumOfInstancesExcept(process, now));
    zones.values().forEach(received -> reports.add(received.asOf(now)));
    return StateReport.sumOf(reports);
  }

  private StateReport sumOfInstancesExcept(String process, Instant now) {
    boolean addsLoads = instances.size() <= MAXIMUM_ADDED;
    List<StateReport> reports = new ArrayList<>();
    for (Map.Entry<String, Received> entry : instances.entrySet()) {
      if (!entry.getKey().equals(process)) {
        StateReport report = entry.getValue().asOf(now);
        LoadReport added = addsLoads ? report.load().withRefused(List.of()) : LoadReport.EMPTY;
        reports.add(report.withLoad(added));
      }
    }
    StateReport sum = StateReport.sumOf(reports);
    LoadReport load =
        addsLoads ? sum.load() : loads.except(process, () -> loadsAsOf(now, false), now);
    LoadReport refused = refusals.except(process, () -> loadsAsOf(now, true), now);
    return sum.withLoad(load.withRefused(refused.refused()));
  }

  private Map<String, LoadReport> loadsAsOf(Instant now, boolean onlyRefused) {
    return new HashMap<>(
        Maps.transformValues(
            instances,
            received -> {
              LoadReport load = received.asOf(now).load();
              return onlyRefused
                  ? LoadReport.ofRefused(load.refused())
                  : load.withRefused(List.of());
            }));
  }
}
