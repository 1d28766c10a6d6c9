// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.gateway.ServiceDefinition;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.limit.AdvertisedLimits;
import org.oatlug.internal.limit.BrittleShares;
import org.oatlug.internal.limit.RateSenders;
import org.oatlug.internal.limit.SharedRateLimit;
import org.oatlug.internal.limit.SharedRateLimit.Permit;
import org.oatlug.internal.limit.SharedRateLimit.Target;
import org.oatlug.internal.table.UpstreamRow;

/**
 * Enforces the rate limits of an upstream, which all instances share: the limit during a cold
 * start, the limit that the upstream advertises, and the places of a brittle upstream.
 *
 * <p>Invariant: an upstream is never limited if its service configures no cold-start limit and the
 * upstream advertises none. Owned by one event loop, not thread-safe.
 */
final class UpstreamRateLimits {
  private final GatewayTables tables;
  private final GatewaySettings.Bounds bounds;
  private final AdvertisedLimits advertisedLimits;
  private final BrittleShares brittleShares;
  private final SharedRateLimit coldLimit;
  private final SharedRateLimit advertisedLimit;

  private UpstreamRateLimits(
      GatewayTables tables,
      GatewaySettings.Bounds bounds,
      AdvertisedLimits advertisedLimits,
      BrittleShares brittleShares,
      RateSenders senders) {
    this.tables = tables;
    this.bounds = bounds;
    this.advertisedLimits = advertisedLimits;
    this.brittleShares = brittleShares;
    this.coldLimit = SharedRateLimit.create(senders.ofCold());
    this.advertisedLimit = SharedRateLimit.create(senders.ofLimited());
  }

  /** Returns rate limits that have admitted no requests yet. */
  static UpstreamRateLimits create(
      GatewayTables tables,
      GatewaySettings.Bounds bounds,
      AdvertisedLimits advertisedLimits,
      BrittleShares brittleShares,
      RateSenders senders) {
    return new UpstreamRateLimits(tables, bounds, advertisedLimits, brittleShares, senders);
  }

  /** Returns whether the upstream is warm or its cold-start limit admits a request. */
  boolean coldLimitAllows(UpstreamRecord upstream, UpstreamRow row, Instant now) {
    return coldTarget(upstream, row, now).map(target -> coldLimit.allows(target, now)).orElse(true);
  }

  /** Returns whether the upstream advertises no limit or its limit admits a request. */
  boolean advertisedLimitAllows(UpstreamRecord upstream, UpstreamRow row, Instant now) {
    return advertisedTarget(upstream, row)
        .map(target -> advertisedLimit.allows(target, now))
        .orElse(true);
  }

  /** Returns whether the upstream is not brittle or this instance has a place left there. */
  boolean brittleShareAllows(UpstreamRecord upstream, UpstreamRow row) {
    OptionalInt share = brittleShareOf(upstream, row);
    return share.isEmpty() || row.inFlight() < share.getAsInt();
  }

  private OptionalInt brittleShareOf(UpstreamRecord upstream, UpstreamRow row) {
    return brittleShares.shareOf(row.process(), upstream.zone(), upstream.slots());
  }

  /** Returns whether this instance has no place at any upstream of the service, all brittle. */
  boolean lacksShareOf(String service) {
    List<String> upstreams = tables.remainingUpstreamsOf(service);
    return !upstreams.isEmpty() && upstreams.stream().allMatch(this::lacksShare);
  }

  private boolean lacksShare(String name) {
    return tables
        .upstream(name)
        .map(upstream -> brittleShareOf(upstream, tables.row(name)))
        .map(share -> share.isPresent() && share.getAsInt() == 0)
        .orElse(false);
  }

  /** Holds the rate limit permits of one request at one upstream. Used from one event loop. */
  final class Reservation {
    private final String name;
    private final UpstreamRecord upstream;
    private Optional<Permit> coldPermit = Optional.empty();
    private Optional<Permit> advertisedPermit = Optional.empty();

    private Reservation(String name, UpstreamRecord upstream) {
      this.name = name;
      this.upstream = upstream;
    }

    private void acquire(Instant now) {
      UpstreamRow row = tables.row(name);
      coldPermit = coldPermit.or(() -> coldTarget(upstream, row, now).map(coldLimit::acquire));
      advertisedPermit =
          advertisedPermit.or(() -> advertisedTarget(upstream, row).map(advertisedLimit::acquire));
    }

    /**
     * Records that the request is written now. Acquires permits of limits that came into force
     * after the upstream was selected.
     *
     * @return the reason why it must not be written, empty if it may be
     */
    Optional<UpstreamEligibility.Exclusion> write(Instant now) {
      UpstreamRow row = tables.row(name);
      if (coldPermit.isEmpty() && !coldLimitAllows(upstream, row, now)) {
        return Optional.of(UpstreamEligibility.Exclusion.COLD);
      }
      if (advertisedPermit.isEmpty() && !advertisedLimitAllows(upstream, row, now)) {
        return Optional.of(UpstreamEligibility.Exclusion.LIMITED);
      }
      acquire(now);
      permits().forEach(permit -> permit.written(now));
      return Optional.empty();
    }

    /** Releases the permits that were not used. */
    void release() {
      permits().forEach(Permit::release);
    }

    private List<Permit> permits() {
      List<Permit> permits = new ArrayList<>();
      coldPermit.ifPresent(permits::add);
      advertisedPermit.ifPresent(permits::add);
      return permits;
    }
  }

  /** Acquires a permit from each rate limit of the upstream that is in force now. */
  Reservation reserve(String name, UpstreamRecord upstream, Instant now) {
    Reservation reservation = new Reservation(name, upstream);
    reservation.acquire(now);
    return reservation;
  }

  /** Returns the target of the cold-start limit, empty if the upstream is warm or has no limit. */
  private Optional<Target> coldTarget(UpstreamRecord upstream, UpstreamRow row, Instant now) {
    if (!row.isCold(now)) {
      return Optional.empty();
    }
    return tables
        .service(upstream.service())
        .flatMap(ServiceDefinition::coldStart)
        .map(coldStart -> Target.cold(row.process(), upstream.zone(), coldRate(coldStart)));
  }

  private double coldRate(ServiceDefinition.ColdStart coldStart) {
    return coldStart.requestsPerSecond() * bounds.coldShare() + bounds.coldReserve();
  }

  /** Returns the target of the advertised limit, empty if the upstream advertises none. */
  private Optional<Target> advertisedTarget(UpstreamRecord upstream, UpstreamRow row) {
    return advertisedLimits
        .limitOf(row.process())
        .map(limit -> Target.advertised(row.process(), upstream.zone(), limit));
  }

  /**
   * Returns the sum of the limits that the upstreams of a service advertise, in requests per
   * second.
   */
  double totalAdvertisedRate(String service) {
    return tables.upstreamsOf(service).stream()
        .flatMapToDouble(name -> advertisedLimits.rateOf(tables.row(name).process()).stream())
        .sum();
  }
}
