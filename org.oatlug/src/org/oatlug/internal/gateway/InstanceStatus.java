// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.crash.CrashLedger;
import org.oatlug.internal.limit.AdvertisedLimit;
import org.oatlug.internal.table.UpstreamRow;

/**
 * What an instance knows now, for an operator. Immutable.
 *
 * @param name the name of the instance
 * @param ready whether it tells the balancer that it is ready
 * @param store what is known of the store's restores
 * @param emptiedZones the availability zones whose upstreams get nothing
 * @param rollouts how far the roll-outs have come that run
 * @param heldRequests the requests that run alone or not at all, because upstreams ended under them
 * @param upstreams the upstreams, ordered by name
 */
public record InstanceStatus(
    String name,
    boolean ready,
    Store store,
    List<String> emptiedZones,
    List<RolloutStatus> rollouts,
    List<CrashLedger.Listed> heldRequests,
    List<Upstream> upstreams) {
  /**
   * What is known of the store's restores.
   *
   * @param epoch the epoch that the newest object is of, 0 if the store names none
   * @param sinceMillis for how long that epoch has been known, in milliseconds
   * @param retained the objects whose content counts although the store shows an older one
   * @param awaited how many objects are known of earlier epochs and were not shown since
   */
  public record Store(long epoch, long sinceMillis, List<String> retained, long awaited) {}

  /**
   * An upstream.
   *
   * @param name its name
   * @param service its service
   * @param zone its availability zone
   * @param leaving whether it is about to go
   * @param cold whether it bears few requests now
   * @param limit what it advertises of its rate limit, empty if it advertises none
   * @param restsMillis for how much longer it wants nothing, in milliseconds
   * @param keptOut whether it is kept out after failures
   * @param expectedLoad the requests that it is believed to have
   */
  public record Upstream(
      String name,
      String service,
      String zone,
      boolean leaving,
      boolean cold,
      Optional<AdvertisedLimit> limit,
      long restsMillis,
      boolean keptOut,
      int expectedLoad) {}

  /** Returns the status of the instance that has these parts. */
  static InstanceStatus of(GatewayParts parts, boolean ready) {
    GatewayTables tables = parts.tables();
    List<Upstream> upstreams =
        tables.upstreamNames().stream().map(name -> upstream(parts, name)).toList();
    return new InstanceStatus(
        parts.settings().name(),
        ready,
        tables.storeStatus(),
        List.copyOf(tables.emptiedZones()),
        parts.versions().status(),
        parts.crashLedger().listed(),
        upstreams);
  }

  private static Upstream upstream(GatewayParts parts, String name) {
    UpstreamRecord record = parts.tables().upstream(name).orElseThrow();
    UpstreamRow row = parts.tables().row(name);
    Instant now = parts.clock().instant();
    return new Upstream(
        name,
        record.service(),
        record.zone(),
        parts.tables().isLeaving(name),
        row.isCold(now),
        parts.limits().find(row.process()),
        row.restLeft(now).toMillis(),
        row.ejected(now),
        row.expectedLoad());
  }
}
