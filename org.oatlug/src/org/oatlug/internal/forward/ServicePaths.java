// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.forward;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.routing.ServiceReachability;

/**
 * Records whether this instance reaches the upstreams of each service, and logs each change.
 *
 * <p>Owned by one event loop, not thread-safe.
 */
public final class ServicePaths {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The age up to which an opened connection shows that the service is reachable. */
  private static final Duration LATELY = Duration.ofSeconds(2);

  private final InstantSource clock;
  private final Meters meters;
  private final ServiceReachability reachability;
  private final Set<String> lostServices = new TreeSet<>();
  private Consumer<String> onLost = service -> {};

  private ServicePaths(InstantSource clock, Meters meters, ServiceReachability reachability) {
    this.clock = clock;
    this.meters = meters;
    this.reachability = reachability;
  }

  /**
   * Returns paths to the upstreams.
   *
   * @param upstreamsOf returns the upstreams of a service that are not leaving
   */
  public static ServicePaths create(
      InstantSource clock, Meters meters, Function<String, Collection<String>> upstreamsOf) {
    return new ServicePaths(clock, meters, ServiceReachability.create(upstreamsOf));
  }

  /** Sets the action that runs with the name of a service that is no longer reachable. */
  void onLost(Consumer<String> action) {
    onLost = action;
  }

  /** Returns the services that were found unreachable and have not been reached since. */
  Set<String> lostServices() {
    return lostServices;
  }

  /** Returns whether a connection to the upstream has failed since the service was last reached. */
  public boolean hasFailed(String service, String upstream) {
    return reachability.hasFailed(service, upstream);
  }

  /** Records that a connection to an upstream of the service has opened. */
  public void recordOpened(String service) {
    reachability.recordOpened(service, clock.instant());
    regain(service);
  }

  /** Records that bytes of a response of the service were received. */
  public void recordReceived(String service) {
    reachability.recordReceived(service, clock.instant());
    regain(service);
  }

  private void regain(String service) {
    if (lostServices.remove(service)) {
      meters.count("path.regained");
      logger.atInfo().log("service %s is reachable again from this instance", service);
    }
  }

  /**
   * Records that a connection to an upstream of the service failed to open.
   *
   * @param startedAt the start of the attempt
   */
  public void recordFailure(String service, String upstream, Instant startedAt) {
    Instant now = clock.instant();
    reachability.recordFailure(service, upstream, startedAt, now);
    if (reachability.isUnreachable(service) && lostServices.add(service)) {
      meters.count("path.lost");
      logger.atWarning().log(
          "service %s is unreachable from this instance, last reached %s millis ago",
          service, reachability.sinceLastOpened(service, now).map(Duration::toMillis).orElse(-1L));
    }
  }

  /** Returns whether this instance seems to reach no upstream of the service. */
  public boolean isLost(String service) {
    return reachability.isUnreachable(service);
  }

  /** Returns whether a connection to the service has opened a short time ago. */
  public boolean hasLatelyReached(String service) {
    return reachability
        .sinceLastOpened(service, clock.instant())
        .map(age -> age.compareTo(LATELY) < 0)
        .orElse(false);
  }
}
