// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Instant;
import java.util.Optional;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.gateway.ServiceDefinition;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.limit.ColdLimit;
import org.oatlug.internal.table.UpstreamRow;

/**
 * Tells the limit of cold upstreams what the tables and the settings say of an upstream.
 *
 * <p>Invariant: an upstream whose service names no bound for its cold ones is never limited. Owned
 * by one event loop, not thread-safe.
 */
final class ColdGate {
  private final GatewayTables tables;
  private final GatewaySettings.Bounds bounds;
  private final ColdLimit limit;

  private ColdGate(GatewayTables tables, GatewaySettings.Bounds bounds, ColdLimit limit) {
    this.tables = tables;
    this.bounds = bounds;
    this.limit = limit;
  }

  /** Returns a gate in front of the limit. */
  static ColdGate create(GatewayTables tables, GatewaySettings.Bounds bounds, ColdLimit limit) {
    return new ColdGate(tables, bounds, limit);
  }

  /** Returns whether a request may go to the upstream as far as that is cold. */
  boolean isOpen(String name, UpstreamRecord upstream, Instant now) {
    return placeOf(name, upstream, now).map(place -> limit.hasRoom(place, now)).orElse(true);
  }

  /**
   * Takes leave to write a request to the upstream.
   *
   * @return the leave, empty if the upstream is not limited now
   */
  Optional<ColdLimit.Permit> enter(String name, UpstreamRecord upstream, Instant now) {
    return placeOf(name, upstream, now).map(limit::take);
  }

  /** Returns the upstream as a limited place, empty if it is warm or bears all at once. */
  private Optional<ColdLimit.Place> placeOf(String name, UpstreamRecord upstream, Instant now) {
    UpstreamRow row = tables.row(name);
    if (!row.isCold(now)) {
      return Optional.empty();
    }
    return tables
        .service(upstream.service())
        .flatMap(ServiceDefinition::coldStart)
        .map(cold -> new ColdLimit.Place(row.process(), upstream.zone(), bound(cold)));
  }

  private double bound(ServiceDefinition.ColdStart cold) {
    return cold.requestsPerSecond() * bounds.coldShare() + bounds.coldReserve();
  }
}
