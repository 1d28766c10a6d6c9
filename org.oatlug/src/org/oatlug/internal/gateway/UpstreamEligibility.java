// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.collect.Sets;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.oatlug.api.RefusalReason;
import org.oatlug.gateway.ServiceDefinition;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.table.UpstreamRow;

/**
 * Determines whether an upstream may receive a request now, and if not, the reason.
 *
 * <p>Invariant: the check before a request is written and the reasons reported to callers and
 * operators follow the same rule. Owned by one event loop, not thread-safe.
 */
final class UpstreamEligibility {
  private static final Optional<Exclusion> LEAVES = Optional.of(Exclusion.LEAVES);
  private static final Optional<Exclusion> ZONE_EMPTIED = Optional.of(Exclusion.ZONE_EMPTIED);
  private static final Optional<Exclusion> RESTS = Optional.of(Exclusion.RESTS);
  private static final Optional<Exclusion> COLD = Optional.of(Exclusion.COLD);
  private static final Optional<Exclusion> LIMITED = Optional.of(Exclusion.LIMITED);
  private static final Optional<Exclusion> FULL = Optional.of(Exclusion.FULL);
  private static final Optional<Exclusion> BRITTLE = Optional.of(Exclusion.BRITTLE);

  /** Reasons that don't apply to a selected request: it has reserved its connection and permits. */
  private static final Set<Exclusion> RESERVED_BY_REQUEST =
      Sets.immutableEnumSet(Exclusion.FULL, Exclusion.BRITTLE, Exclusion.COLD, Exclusion.LIMITED);

  private final GatewayTables tables;
  private final UpstreamRateLimits rates;

  private UpstreamEligibility(GatewayTables tables, UpstreamRateLimits rates) {
    this.tables = tables;
    this.rates = rates;
  }

  /** Returns a check of the upstreams in the tables. */
  static UpstreamEligibility of(GatewayTables tables, UpstreamRateLimits rates) {
    return new UpstreamEligibility(tables, rates);
  }

  /** The reason why an upstream receives no requests. */
  enum Exclusion {
    /** It announced in its registration or a response that it is leaving, or is deregistered. */
    LEAVES("the upstream is leaving", "upstream-leaves"),
    /** Its availability zone is evacuated. */
    ZONE_EMPTIED("the availability zone of the upstream is being evacuated", "zone-emptied"),
    /** It refused a request and asked to back off (Retry-After), and that time is not over. */
    RESTS("the upstream asked to back off", "upstream-rests"),
    /** All its connections are in use. */
    FULL("all connections of the upstream are in use", "upstream-full"),
    /** It is brittle, and this instance has no place left there. */
    BRITTLE("the instance's places at the brittle upstream are in use", "upstream-brittle"),
    /** It is in its cold start and the cold-start rate limit is exhausted. */
    COLD("the cold-start rate limit of the upstream is exhausted", "upstream-cold"),
    /** The rate limit that it advertises is exhausted for this instance. */
    LIMITED("the rate limit of the upstream is exhausted", "upstream-limited");

    private final String reason;
    private final String counterSuffix;

    Exclusion(String reason, String counterSuffix) {
      this.reason = reason;
      this.counterSuffix = counterSuffix;
    }

    /** Returns the reason as text for the log. */
    String reason() {
      return reason;
    }

    /** Returns the suffix of the counter of requests sent to another upstream instead. */
    String counterSuffix() {
      return counterSuffix;
    }
  }

  /**
   * Returns why a selected request must not be written, empty if it may be. The upstream may have
   * become unavailable while the connection was being opened. The connection is already reserved
   * for the request, and {@link UpstreamRateLimits.Reservation} checks the rate limits.
   */
  Optional<Exclusion> exclusionBeforeWrite(String name, Instant now) {
    return exclusionOf(name, now).filter(reason -> !RESERVED_BY_REQUEST.contains(reason));
  }

  /** Returns why the upstream receives no requests now, empty if it may receive them. */
  Optional<Exclusion> exclusionOf(String name, Instant now) {
    return tables
        .upstream(name)
        .map(
            upstream ->
                exclusionOf(upstream, tables.row(name), connectionLimitOf(upstream.service()), now))
        .orElse(Optional.of(Exclusion.LEAVES));
  }

  /**
   * Returns why an upstream receives no requests now, empty if it may receive them.
   *
   * @param connectionLimit its maximum number of connections, see {@link #connectionLimitOf}
   */
  Optional<Exclusion> exclusionOf(
      UpstreamRecord upstream, UpstreamRow row, int connectionLimit, Instant now) {
    if (upstream.leaving() || row.isLeaving()) {
      return LEAVES;
    }
    if (tables.isInEvacuatedZone(upstream)) {
      return ZONE_EMPTIED;
    }
    if (row.isBackingOff(now)) {
      return RESTS;
    }
    if (row.expectedLoad() >= connectionLimit) {
      return FULL;
    }
    if (!rates.brittleShareAllows(upstream, row)) {
      return BRITTLE;
    }
    if (!rates.coldLimitAllows(upstream, row, now)) {
      return COLD;
    }
    return rates.advertisedLimitAllows(upstream, row, now) ? Optional.empty() : LIMITED;
  }

  /**
   * Returns the maximum number of connections of an upstream, unlimited if its service sets none.
   * Each open request uses its own connection.
   */
  int connectionLimitOf(String service) {
    int connectionLimit =
        tables.service(service).map(ServiceDefinition::maximumConnections).orElse(0);
    return connectionLimit > 0 ? connectionLimit : Integer.MAX_VALUE;
  }

  /** Returns the refusal reason for a service without eligible upstreams. */
  RefusalReason refusalReason(String service, Instant now) {
    Set<Exclusion> reasons = EnumSet.noneOf(Exclusion.class);
    tables.upstreamsOf(service).forEach(name -> exclusionOf(name, now).ifPresent(reasons::add));
    if (reasons.contains(Exclusion.COLD)) {
      return RefusalReason.UPSTREAMS_COLD;
    }
    if (reasons.contains(Exclusion.BRITTLE)) {
      return RefusalReason.UPSTREAMS_BRITTLE;
    }
    if (reasons.contains(Exclusion.RESTS)) {
      return RefusalReason.UPSTREAMS_REST;
    }
    // A connection becomes free sooner than a rate limit admits another request.
    if (reasons.contains(Exclusion.LIMITED) && !reasons.contains(Exclusion.FULL)) {
      return RefusalReason.UPSTREAMS_LIMITED;
    }
    return reasons.contains(Exclusion.ZONE_EMPTIED)
        ? RefusalReason.ZONES_EMPTIED
        : RefusalReason.NO_UPSTREAM;
  }

  /**
   * Returns the shortest remaining back-off time of the upstreams of a service, empty if one is
   * eligible now or none is backing off.
   */
  Optional<Duration> shortestBackOff(String service, Instant now) {
    boolean anyEligible =
        tables.upstreamsOf(service).stream().anyMatch(name -> exclusionOf(name, now).isEmpty());
    if (anyEligible) {
      return Optional.empty();
    }
    return tables.upstreamsOf(service).stream()
        .filter(name -> exclusionOf(name, now).equals(RESTS))
        .map(name -> tables.row(name).remainingBackOff(now))
        .min(Comparator.naturalOrder());
  }
}
