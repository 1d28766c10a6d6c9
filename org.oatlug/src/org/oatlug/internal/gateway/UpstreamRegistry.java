// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.oatlug.gateway.ServiceDefinition;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.table.UpstreamTable;

/**
 * Holds the registered upstreams, the evacuated availability zones and the observed state of each
 * upstream.
 *
 * <p>Invariants: an upstream process is identified by its name and start time; the state observed
 * of an earlier process is dropped as soon as the registration of the next one is merged. A zone
 * counts as evacuated from the merge of its evacuation until the evacuation ends. Owned by one
 * event loop, not thread-safe.
 */
final class UpstreamRegistry {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final InstantSource clock;
  private final UpstreamTable upstreamTable = UpstreamTable.create();
  private final Map<String, UpstreamRecord> records = new TreeMap<>();
  private final Map<String, List<String>> byService = new HashMap<>();
  private final Set<String> evacuatedZones = new TreeSet<>();
  private final VersionRegistry versions = VersionRegistry.create();

  private UpstreamRegistry(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns an empty registry. */
  static UpstreamRegistry create(InstantSource clock) {
    return new UpstreamRegistry(clock);
  }

  /** Adds or replaces the registration of an upstream and returns the previous one. */
  Optional<UpstreamRecord> put(String name, UpstreamRecord registration) {
    // Before the replaced registration is removed, so that no version appears without upstreams.
    versions.added(registration.service(), registration.version());
    final Optional<UpstreamRecord> previous = remove(name);
    records.put(name, registration);
    byService.computeIfAbsent(registration.service(), unused -> new ArrayList<>()).add(name);
    if (registration.startedAtMillis().isPresent()) {
      recordStart(name, registration.startedAtMillis().getAsLong());
    }
    registration
        .coldMillis()
        .ifPresent(millis -> row(name).extendColdStart(clock.instant().plusMillis(millis)));
    return previous;
  }

  /** Drops the state of an earlier process of the same name: it doesn't apply to this process. */
  private void recordStart(String name, long startedAtMillis) {
    if (upstreamTable.started(name, startedAtMillis)) {
      logger.atInfo().log("upstream %s was restarted, started=%d", name, startedAtMillis);
    }
  }

  /** Removes the registration of an upstream and returns it. */
  Optional<UpstreamRecord> remove(String name) {
    Optional<UpstreamRecord> previous = Optional.ofNullable(records.remove(name));
    previous.ifPresent(
        record -> {
          byService.get(record.service()).remove(name);
          versions.removed(record.service(), record.version());
        });
    return previous;
  }

  /** Marks a zone as evacuated and returns whether it was not evacuated before. */
  boolean evacuateZone(String zone) {
    return evacuatedZones.add(zone);
  }

  /**
   * Ends the evacuation of a zone. Its upstreams may have become cold shortly before, and their
   * registrations may arrive later than this, so each is treated as cold for as long as after a
   * start.
   *
   * @param services the services by name
   * @return whether the zone was evacuated
   */
  boolean endEvacuation(String zone, Function<String, Optional<ServiceDefinition>> services) {
    if (!evacuatedZones.remove(zone)) {
      return false;
    }
    Instant now = clock.instant();
    records.forEach(
        (name, record) -> {
          if (record.zone().equals(zone)) {
            services
                .apply(record.service())
                .flatMap(ServiceDefinition::coldStart)
                .ifPresent(cold -> row(name).extendColdStart(now.plusMillis(cold.millis())));
          }
        });
    return true;
  }

  /** Returns an unmodifiable view of the evacuated zones. */
  Set<String> evacuatedZones() {
    return Collections.unmodifiableSet(evacuatedZones);
  }

  /** Returns whether an upstream is in an evacuated zone. */
  boolean isInEvacuatedZone(UpstreamRecord record) {
    return !evacuatedZones.isEmpty() && evacuatedZones.contains(record.zone());
  }

  /** Returns the versions that have upstreams. */
  VersionRegistry versions() {
    return versions;
  }

  /** Returns the registration of an upstream, empty if it is not registered. */
  Optional<UpstreamRecord> record(String name) {
    return Optional.ofNullable(records.get(name));
  }

  /** Returns the state observed of an upstream since its start. */
  UpstreamRow row(String name) {
    return upstreamTable.row(name);
  }

  /** Returns the names of the upstreams of a service. */
  List<String> ofService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns the names of all upstreams. */
  Collection<String> names() {
    return records.keySet();
  }

  /** Returns the load table of the upstreams. */
  UpstreamTable upstreamTable() {
    return upstreamTable;
  }
}
