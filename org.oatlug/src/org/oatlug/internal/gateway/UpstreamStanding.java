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
 * Says whether an upstream may get a request now, and why not.
 *
 * <p>Invariant: what is asked before a request is written and what is told to callers and operators
 * are the same rule. Owned by one event loop, not thread-safe.
 */
final class UpstreamStanding {
  private static final Optional<Out> LEAVES = Optional.of(Out.LEAVES);
  private static final Optional<Out> ZONE_EMPTIED = Optional.of(Out.ZONE_EMPTIED);
  private static final Optional<Out> RESTS = Optional.of(Out.RESTS);
  private static final Optional<Out> COLD = Optional.of(Out.COLD);
  private static final Optional<Out> LIMITED = Optional.of(Out.LIMITED);
  private static final Optional<Out> FULL = Optional.of(Out.FULL);

  /** What a request that was chosen for an upstream holds already. */
  private static final Set<Out> HELD_BY_REQUEST =
      Sets.immutableEnumSet(Out.FULL, Out.COLD, Out.LIMITED);

  private final GatewayTables tables;
  private final RateGate rates;

  private UpstreamStanding(GatewayTables tables, RateGate rates) {
    this.tables = tables;
    this.rates = rates;
  }

  /** Returns the standing of the upstreams in the tables. */
  static UpstreamStanding of(GatewayTables tables, RateGate rates) {
    return new UpstreamStanding(tables, rates);
  }

  /** Why an upstream gets nothing. */
  enum Out {
    /** It said that it leaves, in its entry or in an answer, or is gone. */
    LEAVES("the upstream leaves", "upstream-leaves"),
    /** Its availability zone is being emptied. */
    ZONE_EMPTIED("its zone is emptied", "zone-emptied"),
    /** It refused a request and asked for rest. */
    RESTS("the upstream wants rest", "upstream-rests"),
    /** All its connections are in use. */
    FULL("the upstream is full", "upstream-full"),
    /** It has just started and its allowance is used. */
    COLD("the upstream turned cold", "upstream-cold"),
    /** Its advertised limit leaves nothing to this instance now. */
    LIMITED("the upstream limits its rate", "upstream-limited");

    private final String reason;
    private final String cause;

    Out(String reason, String cause) {
      this.reason = reason;
      this.cause = cause;
    }

    /** Returns the reason in words, for the log. */
    String reason() {
      return reason;
    }

    /** Returns the cause under which a request that goes elsewhere is counted. */
    String cause() {
      return cause;
    }
  }

  /**
   * Returns why a request that was about to be written goes elsewhere: the upstream may have gone
   * out while the connection to it was opened. The request's own place is its already; its permits
   * are the matter of the {@link RateGate.Reservation}.
   */
  Optional<Out> turnedOut(String name, Instant now) {
    return outOf(name, now).filter(out -> !HELD_BY_REQUEST.contains(out));
  }

  /** Returns why the upstream gets nothing now, empty if it may be sent to. */
  Optional<Out> outOf(String name, Instant now) {
    return tables
        .upstream(name)
        .map(one -> outOf(one, tables.row(name), mostConnections(one.service()), now))
        .orElse(Optional.of(Out.LEAVES));
  }

  /**
   * Returns why an upstream gets nothing now, empty if it may be sent to.
   *
   * @param most how many connections it takes, see {@link #mostConnections}
   */
  Optional<Out> outOf(UpstreamRecord upstream, UpstreamRow row, int most, Instant now) {
    if (upstream.leaving() || row.leaving()) {
      return LEAVES;
    }
    if (tables.isEmptied(upstream)) {
      return ZONE_EMPTIED;
    }
    if (row.isResting(now)) {
      return RESTS;
    }
    if (row.expectedLoad() >= most) {
      return FULL;
    }
    if (!rates.allowsAsCold(upstream, row, now)) {
      return COLD;
    }
    return rates.allowsAsAdvertised(upstream, row, now) ? Optional.empty() : LIMITED;
  }

  /** Returns how many connections an upstream takes; each open request has its own. */
  int mostConnections(String service) {
    int most = tables.service(service).map(ServiceDefinition::maximumConnections).orElse(0);
    return most > 0 ? most : Integer.MAX_VALUE;
  }

  /** Returns why a service has no upstream to choose, for the caller and the operator. */
  RefusalReason reasonOfNone(String service, Instant now) {
    Set<Out> reasons = EnumSet.noneOf(Out.class);
    tables.upstreamsOf(service).forEach(name -> outOf(name, now).ifPresent(reasons::add));
    if (reasons.contains(Out.COLD)) {
      return RefusalReason.UPSTREAMS_COLD;
    }
    if (reasons.contains(Out.RESTS)) {
      return RefusalReason.UPSTREAMS_REST;
    }
    // A place at a full upstream becomes free sooner than a limit leaves room.
    if (reasons.contains(Out.LIMITED) && !reasons.contains(Out.FULL)) {
      return RefusalReason.UPSTREAMS_LIMITED;
    }
    return reasons.contains(Out.ZONE_EMPTIED)
        ? RefusalReason.ZONES_EMPTIED
        : RefusalReason.NO_UPSTREAM;
  }

  /**
   * Returns when the first upstream of a service has rested, empty if one may be sent to now or
   * none rests.
   */
  Optional<Duration> soonestRested(String service, Instant now) {
    boolean anyFree =
        tables.upstreamsOf(service).stream().anyMatch(name -> outOf(name, now).isEmpty());
    if (anyFree) {
      return Optional.empty();
    }
    return tables.upstreamsOf(service).stream()
        .filter(name -> outOf(name, now).equals(RESTS))
        .map(name -> tables.row(name).restLeft(now))
        .min(Comparator.naturalOrder());
  }
}
