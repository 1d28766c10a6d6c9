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
final class UpstreamStanding {
  private static final Optional<Out> LEAVES = Optional.of(Out.LEAVES);
  private static final Optional<Out> ZONE_EMPTIED = Optional.of(Out.ZONE_EMPTIED);
  private static final Optional<Out> RESTS = Optional.of(Out.RESTS);
  private static final Optional<Out> COLD = Optional.of(Out.COLD);
  private static final Optional<Out> LIMITED = Optional.of(Out.LIMITED);
  private static final Optional<Out> FULL = Optional.of(Out.FULL);

  /** Reasons that don't apply to a selected request: it has reserved its connection and permits. */
  private static final Set<Out> RESERVED_BY_REQUEST =
      Sets.immutableEnumSet(Out.FULL, Out.COLD, Out.LIMITED);

  private final GatewayTables tables;
  private final RateGate rates;

  private UpstreamStanding(GatewayTables tables, RateGate rates) {
    this.tables = tables;
    this.rates = rates;
  }

  /** Returns a check of the upstreams in the tables. */
  static UpstreamStanding of(GatewayTables tables, RateGate rates) {
    return new UpstreamStanding(tables, rates);
  }

  /** The reason why an upstream receives no requests. */
  enum Out {
    /** It announced in its registration or a response that it is leaving, or is deregistered. */
    LEAVES("the upstream is leaving", "upstream-leaves"),
    /** Its availability zone is being drained. */
    ZONE_EMPTIED("the availability zone of the upstream is being drained", "zone-emptied"),
    /** It refused a request and asked instances to back off. */
    RESTS("the upstream asked to back off", "upstream-rests"),
    /** All its connections are in use. */
    FULL("all connections of the upstream are in use", "upstream-full"),
    /** It is in its cold start and the cold-start rate limit is exhausted. */
    COLD("the cold-start rate limit of the upstream is exhausted", "upstream-cold"),
    /** The rate limit that it advertises is exhausted for this instance. */
    LIMITED("the rate limit of the upstream is exhausted", "upstream-limited");

    private final String reason;
    private final String cause;

    Out(String reason, String cause) {
      this.reason = reason;
      this.cause = cause;
    }

    /** Returns the reason as text for the log. */
    String reason() {
      return reason;
    }

    /** Returns the metric label for requests that are sent to another upstream instead. */
    String cause() {
      return cause;
    }
  }

  /**
   * Returns why a selected request must not be written, empty if it may be. The upstream may have
   * become unavailable while the connection was being opened. The connection is already reserved
   * for the request, and {@link RateGate.Reservation} checks the rate limits.
   */
  Optional<Out> turnedOut(String name, Instant now) {
    return outOf(name, now).filter(reason -> !RESERVED_BY_REQUEST.contains(reason));
  }

  /** Returns why the upstream receives no requests now, empty if it may receive them. */
  Optional<Out> outOf(String name, Instant now) {
    return tables
        .upstream(name)
        .map(
            upstream ->
                outOf(upstream, tables.row(name), connectionLimitOf(upstream.service()), now))
        .orElse(Optional.of(Out.LEAVES));
  }

  /**
   * Returns why an upstream receives no requests now, empty if it may receive them.
   *
   * @param connectionLimit its maximum number of connections, see {@link #connectionLimitOf}
   */
  Optional<Out> outOf(UpstreamRecord upstream, UpstreamRow row, int connectionLimit, Instant now) {
    if (upstream.leaving() || row.leaving()) {
      return LEAVES;
    }
    if (tables.isEmptied(upstream)) {
      return ZONE_EMPTIED;
    }
    if (row.isResting(now)) {
      return RESTS;
    }
    if (row.expectedLoad() >= connectionLimit) {
      return FULL;
    }
    if (!rates.coldLimitAllows(upstream, row, now)) {
      return COLD;
    }
    return rates.advertisedLimitAllows(upstream, row, now) ? Optional.empty() : LIMITED;
  }

  /** Returns the maximum connections of an upstream; each open request uses its own connection. */
  int connectionLimitOf(String service) {
    int connectionLimit =
        tables.service(service).map(ServiceDefinition::maximumConnections).orElse(0);
    return connectionLimit > 0 ? connectionLimit : Integer.MAX_VALUE;
  }

  /** Returns the refusal reason for a service without eligible upstreams. */
  RefusalReason reasonOfNone(String service, Instant now) {
    Set<Out> reasons = EnumSet.noneOf(Out.class);
    tables.upstreamsOf(service).forEach(name -> outOf(name, now).ifPresent(reasons::add));
    if (reasons.contains(Out.COLD)) {
      return RefusalReason.UPSTREAMS_COLD;
    }
    if (reasons.contains(Out.RESTS)) {
      return RefusalReason.UPSTREAMS_REST;
    }
    // A connection becomes free sooner than a rate limit admits another request.
    if (reasons.contains(Out.LIMITED) && !reasons.contains(Out.FULL)) {
      return RefusalReason.UPSTREAMS_LIMITED;
    }
    return reasons.contains(Out.ZONE_EMPTIED)
        ? RefusalReason.ZONES_EMPTIED
        : RefusalReason.NO_UPSTREAM;
  }

  /**
   * Returns the shortest remaining back-off time of the upstreams of a service, empty if one is
   * eligible now or none is backing off.
   */
  Optional<Duration> soonestRested(String service, Instant now) {
    boolean anyEligible =
        tables.upstreamsOf(service).stream().anyMatch(name -> outOf(name, now).isEmpty());
    if (anyEligible) {
      return Optional.empty();
    }
    return tables.upstreamsOf(service).stream()
        .filter(name -> outOf(name, now).equals(RESTS))
        .map(name -> tables.row(name).restLeft(now))
        .min(Comparator.naturalOrder());
  }
}
