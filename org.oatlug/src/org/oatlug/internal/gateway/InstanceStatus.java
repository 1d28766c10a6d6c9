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
 * The current state of an instance, for operators. Immutable.
 *
 * @param name the name of the instance
 * @param ready whether it reports itself as ready to the load balancer
 * @param store the epoch of the store and the effects of restores
 * @param emptiedZones the evacuated availability zones, whose upstreams receive no requests
 * @param rollouts the progress of the running roll-outs
 * @param heldRequests the requests that run isolated or are refused, because upstreams crashed
 *     while running them
 * @param upstreams the upstreams, ordered by name
 */
public record InstanceStatus(
    String name,
    boolean ready,
    Store store,
    List<String> emptiedZones,
    List<RolloutStatus> rollouts,
    List<CrashLedger.RestrictedRequest> heldRequests,
    List<Upstream> upstreams) {
  /**
   * The epoch of the store and the effects of restores.
   *
   * @param epoch the epoch of the newest object, 0 if the store has no epochs
   * @param sinceMillis the time since this instance first saw that epoch, in milliseconds
   * @param retained the objects whose content stays in force although the store holds an older one
   * @param awaited the number of objects of earlier epochs that were not read since
   */
  public record Store(long epoch, long sinceMillis, List<String> retained, long awaited) {}

  /**
   * The state of an upstream.
   *
   * @param name its name
   * @param service its service
   * @param zone its availability zone
   * @param leaving whether it is leaving
   * @param cold whether it is cold and limited to few requests
   * @param limit the rate limit that it advertises, empty for none
   * @param restsMillis the remaining back-off that it asked for, in milliseconds
   * @param keptOut whether it is ejected after failures
   * @param expectedLoad the estimated number of its open requests
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

  /** Returns the status of the instance with these components. */
  static InstanceStatus of(GatewayComponents components, boolean ready) {
    GatewayTables tables = components.tables();
    List<Upstream> upstreams =
        tables.upstreamNames().stream().map(name -> upstream(components, name)).toList();
    return new InstanceStatus(
        components.settings().name(),
        ready,
        tables.storeStatus(),
        List.copyOf(tables.evacuatedZones()),
        components.versions().status(),
        components.crashLedger().restrictedRequests(),
        upstreams);
  }

  private static Upstream upstream(GatewayComponents components, String name) {
    UpstreamRecord record = components.tables().upstream(name).orElseThrow();
    UpstreamRow row = components.tables().row(name);
    Instant now = components.clock().instant();
    return new Upstream(
        name,
        record.service(),
        record.zone(),
        components.tables().isLeaving(name),
        row.isCold(now),
        components.limits().limitOf(row.process()),
        row.remainingBackOff(now).toMillis(),
        row.isEjected(now),
        row.expectedLoad());
  }
}
