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
 * The upstreams that are registered, the availability zones that are to get nothing, and what is
 * learned of each upstream.
 *
 * <p>Invariants: an upstream is its name and its start; what was learned of another start is gone
 * as soon as the entry of the new one is known. A zone counts as emptied from the moment that this
 * is known until it is taken back. Owned by one event loop, not thread-safe.
 */
final class KnownUpstreams {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final InstantSource clock;
  private final UpstreamTable loads = UpstreamTable.create();
  private final Map<String, UpstreamRecord> records = new TreeMap<>();
  private final Map<String, List<String>> byService = new HashMap<>();
  private final Set<String> emptiedZones = new TreeSet<>();
  private final KnownVersions versions = KnownVersions.create();

  private KnownUpstreams(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns a directory that knows nobody. */
  static KnownUpstreams create(InstantSource clock) {
    return new KnownUpstreams(clock);
  }

  /** Takes in what an upstream says of itself; returns what it said before. */
  Optional<UpstreamRecord> put(String name, UpstreamRecord read) {
    // Before the entry it replaces goes, so that no version seems to be without upstreams.
    versions.added(read.service(), read.version());
    final Optional<UpstreamRecord> known = remove(name);
    records.put(name, read);
    byService.computeIfAbsent(read.service(), unused -> new ArrayList<>()).add(name);
    if (read.startedAtMillis().isPresent()) {
      noteStart(name, read.startedAtMillis().getAsLong());
    }
    read.coldMillis().ifPresent(millis -> row(name).coldUntil(clock.instant().plusMillis(millis)));
    return known;
  }

  /** Drops what was learned under the name of another start: this process knows nothing of it. */
  private void noteStart(String name, long startedAtMillis) {
    if (loads.started(name, startedAtMillis)) {
      logger.atInfo().log("upstream %s started anew, started=%d", name, startedAtMillis);
    }
  }

  /** Takes in that an upstream is gone; returns what it said of itself. */
  Optional<UpstreamRecord> remove(String name) {
    Optional<UpstreamRecord> known = Optional.ofNullable(records.remove(name));
    known.ifPresent(
        record -> {
          byService.get(record.service()).remove(name);
          versions.removed(record.service(), record.version());
        });
    return known;
  }

  /** Takes in that the upstreams of a zone shall get nothing; returns whether that is new. */
  boolean emptyZone(String zone) {
    return emptiedZones.add(zone);
  }

  /**
   * Takes in that a zone is taken back: its upstreams may have turned cold just before, and their
   * entries may say so later than this, so each counts as cold for as long as after a start.
   *
   * @param services the services by name
   * @return whether the zone was emptied
   */
  boolean takeBackZone(String zone, Function<String, Optional<ServiceDefinition>> services) {
    if (!emptiedZones.remove(zone)) {
      return false;
    }
    Instant now = clock.instant();
    records.forEach(
        (name, record) -> {
          if (record.zone().equals(zone)) {
            services
                .apply(record.service())
                .flatMap(ServiceDefinition::coldStart)
                .ifPresent(cold -> row(name).coldUntil(now.plusMillis(cold.millis())));
          }
        });
    return true;
  }

  /** Returns the zones whose upstreams shall get nothing. */
  Set<String> emptiedZones() {
    return Collections.unmodifiableSet(emptiedZones);
  }

  /** Returns whether an upstream is in a zone that shall get nothing. */
  boolean isEmptied(UpstreamRecord record) {
    return !emptiedZones.isEmpty() && emptiedZones.contains(record.zone());
  }

  /** Returns which versions have upstreams. */
  KnownVersions versions() {
    return versions;
  }

  /** Returns what an upstream says of itself. */
  Optional<UpstreamRecord> record(String name) {
    return Optional.ofNullable(records.get(name));
  }

  /** Returns what was learned of an upstream since its start. */
  UpstreamRow row(String name) {
    return loads.row(name);
  }

  /** Returns the names of the upstreams of a service. */
  List<String> ofService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns the names of all upstreams. */
  Collection<String> names() {
    return records.keySet();
  }

  /** Returns what is known of the load of upstreams. */
  UpstreamTable loads() {
    return loads;
  }
}
