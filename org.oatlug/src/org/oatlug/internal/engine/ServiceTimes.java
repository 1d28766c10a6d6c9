// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import java.time.Instant;
import java.util.Map;
import java.util.OptionalDouble;
import org.oatlug.internal.util.BoundedMap;

/**
 * Measures the service times of the servers of plain services, and the network time to the other
 * availability zones.
 *
 * <p>The network time to a zone is the difference between the shortest response times of a service
 * there and in the own zone, which hardly depend on load. Memory is bounded. Owned by one event
 * loop, not thread-safe.
 */
public final class ServiceTimes {
  private static final int MAXIMUM_SERVERS = 4096;
  private static final int MAXIMUM_SERVICES = 512;

  /**
   * The network time to a zone without measurements, in milliseconds: in the range of distant
   * zones, so that a zone is not tried before the own one is slow.
   */
  private static final double UNMEASURED_NETWORK_MILLIS = 30;

  /** The service time of a service without measurements: short, so that the own zone is used. */
  private static final double UNMEASURED_SERVICE_MILLIS = 25;

  /**
   * The weight of a time above the shortest one, in its average. Low, because most longer times are
   * due to load.
   */
  private static final double LONGER_WEIGHT = 0.04;

  private final Map<String, RecentSamples> byServer = BoundedMap.withMaximumSize(MAXIMUM_SERVERS);
  private final Map<String, RecentSamples> byService = BoundedMap.withMaximumSize(MAXIMUM_SERVICES);
  private final Map<String, Double> shortestInOwnZone =
      BoundedMap.withMaximumSize(MAXIMUM_SERVICES);
  private final Map<String, Double> networkMillis = BoundedMap.withMaximumSize(MAXIMUM_SERVICES);

  private ServiceTimes() {}

  /** Returns measurements that are empty. */
  public static ServiceTimes create() {
    return new ServiceTimes();
  }

  /**
   * Records a response.
   *
   * @param server the upstream process
   * @param otherZone the zone of the server, empty for the own zone
   * @param elapsedMillis the time to the response
   * @param loadFactor the factor by which the load of the server was expected to prolong it
   * @return the service time without load and network, in milliseconds
   */
  public double record(
      String service,
      String server,
      String otherZone,
      double elapsedMillis,
      double loadFactor,
      Instant now) {
    double unloadedMillis = elapsedMillis / loadFactor;
    if (otherZone.isEmpty()) {
      shortestInOwnZone.merge(service, unloadedMillis, ServiceTimes::lowerSmoothed);
    } else {
      OptionalDouble own = shortestOf(service);
      own.ifPresent(
          shortest ->
              networkMillis.merge(
                  networkKey(service, otherZone),
                  Math.max(0, elapsedMillis - shortest),
                  ServiceTimes::lowerSmoothed));
    }
    double millis = Math.max(1, (elapsedMillis - networkMillisTo(service, otherZone)) / loadFactor);
    byServer.computeIfAbsent(server, unused -> new RecentSamples()).add(millis, now);
    byService.computeIfAbsent(service, unused -> new RecentSamples()).add(millis, now);
    return millis;
  }

  private OptionalDouble shortestOf(String service) {
    Double shortest = shortestInOwnZone.get(service);
    return shortest == null ? OptionalDouble.empty() : OptionalDouble.of(shortest);
  }

  /** Follows lower values at once and higher ones slowly. */
  private static double lowerSmoothed(double previous, double value) {
    return value < previous ? value : previous + LONGER_WEIGHT * (value - previous);
  }

  /** Returns the network time of a service to a zone in milliseconds, 0 for the own zone. */
  public double networkMillisTo(String service, String otherZone) {
    return otherZone.isEmpty()
        ? 0
        : networkMillis.getOrDefault(networkKey(service, otherZone), UNMEASURED_NETWORK_MILLIS);
  }

  private static String networkKey(String service, String zone) {
    return service + "/" + zone;
  }

  /**
   * Returns the service time of an unloaded server in milliseconds: its own median, or the median
   * of its service times its pace, which other instances may have observed.
   */
  public double serviceMillisOf(String service, String server, double pace, Instant now) {
    RecentSamples own = byServer.get(server);
    OptionalDouble measured = own == null ? OptionalDouble.empty() : own.median(now);
    if (measured.isPresent()) {
      return measured.getAsDouble();
    }
    RecentSamples all = byService.get(service);
    OptionalDouble usual = all == null ? OptionalDouble.empty() : all.median(now);
    return pace * usual.orElse(UNMEASURED_SERVICE_MILLIS);
  }
}
