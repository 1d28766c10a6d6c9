// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.gateway.ServiceDefinition;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.limit.AdvertisedLimits;
import org.oatlug.internal.limit.RateSenders;
import org.oatlug.internal.limit.SharedRateLimit;
import org.oatlug.internal.limit.SharedRateLimit.Permit;
import org.oatlug.internal.limit.SharedRateLimit.Target;
import org.oatlug.internal.table.UpstreamRow;

/**
 * Applies the limits on the rate of all instances together to an upstream: that of one which has
 * just started, and the one that it advertises.
 *
 * <p>Invariant: an upstream whose service names no bound for its cold ones, and which advertises no
 * limit, is never limited. Owned by one event loop, not thread-safe.
 */
final class RateGate {
  private final GatewayTables tables;
  private final GatewaySettings.Bounds bounds;
  private final AdvertisedLimits advertised;
  private final SharedRateLimit coldLimit;
  private final SharedRateLimit advertisedLimit;

  private RateGate(
      GatewayTables tables,
      GatewaySettings.Bounds bounds,
      AdvertisedLimits advertised,
      RateSenders senders) {
    this.tables = tables;
    this.bounds = bounds;
    this.advertised = advertised;
    this.coldLimit = SharedRateLimit.create(senders.ofCold());
    this.advertisedLimit = SharedRateLimit.create(senders.ofLimited());
  }

  /** Returns a gate under which nothing was sent yet. */
  static RateGate create(
      GatewayTables tables,
      GatewaySettings.Bounds bounds,
      AdvertisedLimits advertised,
      RateSenders senders) {
    return new RateGate(tables, bounds, advertised, senders);
  }

  /** Returns whether the upstream is warm, or may get a request all the same. */
  boolean allowsAsCold(UpstreamRecord upstream, UpstreamRow row, Instant now) {
    return cold(upstream, row, now).map(target -> coldLimit.allows(target, now)).orElse(true);
  }

  /** Returns whether the upstream advertises no limit, or may get a request within it. */
  boolean allowsAsAdvertised(UpstreamRecord upstream, UpstreamRow row, Instant now) {
    return limited(upstream, row).map(target -> advertisedLimit.allows(target, now)).orElse(true);
  }

  /** The reservations of one request at one upstream. Used from one event loop. */
  final class Reservation {
    private final String name;
    private final UpstreamRecord upstream;
    private Optional<Permit> cold = Optional.empty();
    private Optional<Permit> limited = Optional.empty();

    private Reservation(String name, UpstreamRecord upstream) {
      this.name = name;
      this.upstream = upstream;
    }

    private void acquire(Instant now) {
      UpstreamRow row = tables.row(name);
      cold = cold.or(() -> cold(upstream, row, now).map(coldLimit::acquire));
      limited = limited.or(() -> limited(upstream, row).map(advertisedLimit::acquire));
    }

    /**
     * Acquires what is missing because a limit began since the upstream was chosen, and records
     * that the request is written now.
     *
     * @return why it may not be written, empty if it may
     */
    Optional<UpstreamStanding.Out> write(Instant now) {
      UpstreamRow row = tables.row(name);
      if (cold.isEmpty() && !allowsAsCold(upstream, row, now)) {
        return Optional.of(UpstreamStanding.Out.COLD);
      }
      if (limited.isEmpty() && !allowsAsAdvertised(upstream, row, now)) {
        return Optional.of(UpstreamStanding.Out.LIMITED);
      }
      acquire(now);
      permits().forEach(permit -> permit.written(now));
      return Optional.empty();
    }

    /** Releases what was not used. */
    void release() {
      permits().forEach(Permit::release);
    }

    private List<Permit> permits() {
      List<Permit> permits = new ArrayList<>();
      cold.ifPresent(permits::add);
      limited.ifPresent(permits::add);
      return permits;
    }
  }

  /** Reserves a request at the upstream, as far as its rate is limited now. */
  Reservation reserve(String name, UpstreamRecord upstream, Instant now) {
    Reservation reservation = new Reservation(name, upstream);
    reservation.acquire(now);
    return reservation;
  }

  /** Returns the upstream as a target, empty if it is warm or accepts any rate at once. */
  private Optional<Target> cold(UpstreamRecord upstream, UpstreamRow row, Instant now) {
    if (!row.isCold(now)) {
      return Optional.empty();
    }
    return tables
        .service(upstream.service())
        .flatMap(ServiceDefinition::coldStart)
        .map(start -> Target.cold(row.process(), upstream.zone(), bound(start)));
  }

  private double bound(ServiceDefinition.ColdStart start) {
    return start.requestsPerSecond() * bounds.coldShare() + bounds.coldReserve();
  }

  /** Returns the upstream as a target, empty if it advertises no limit. */
  private Optional<Target> limited(UpstreamRecord upstream, UpstreamRow row) {
    return advertised
        .find(row.process())
        .map(limit -> Target.advertised(row.process(), upstream.zone(), limit));
  }

  /**
   * Returns the requests a second that the upstreams of a service accept, of those with a limit.
   */
  double advertisedOf(String service) {
    return tables.upstreamsOf(service).stream()
        .flatMapToDouble(name -> advertised.of(tables.row(name).process()).stream())
        .sum();
  }
}
