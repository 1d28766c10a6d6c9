// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Tracks the services of which this instance reaches no upstream.
 *
 * <p>Invariants: a service counts as unreachable once connections to {@link #MINIMUM_UPSTREAMS} of
 * its upstreams, or to its only one, failed with no connection opened and nothing received in
 * between; an attempt that began before the last of these proves nothing. This ends with the next
 * connection that opens or the next bytes received, or once the upstreams that failed have left.
 * Whether the service is down or this instance is partitioned cannot be told from it. Owned by one
 * event loop, not thread-safe.
 */
public final class ServiceReachability {
  /** A single upstream may have crashed. */
  private static final int MINIMUM_UPSTREAMS = 2;

  /** Failures further apart than this are unrelated. */
  private static final Duration MAXIMUM_GAP = Duration.ofSeconds(3);

  private final Function<String, Collection<String>> upstreamsOf;
  private final Map<String, Connections> byService = new HashMap<>();

  /** The outcomes of recent attempts to connect to the upstreams of a service. */
  private static final class Connections {
    private final Set<String> failedUpstreams = new HashSet<>();
    private Instant lastOpened = Instant.MIN;
    private Instant lastReached = Instant.MIN;
    private Instant lastFailure = Instant.MIN;
  }

  private ServiceReachability(Function<String, Collection<String>> upstreamsOf) {
    this.upstreamsOf = upstreamsOf;
  }

  /**
   * Returns a tracker for which all services are reachable.
   *
   * @param upstreamsOf returns the upstreams of a service that are not leaving
   */
  public static ServiceReachability create(Function<String, Collection<String>> upstreamsOf) {
    return new ServiceReachability(upstreamsOf);
  }

  private Connections connectionsTo(String service) {
    return byService.computeIfAbsent(service, unused -> new Connections());
  }

  /** Records that a connection to an upstream of the service has opened. */
  public void recordOpened(String service, Instant now) {
    Connections connections = connectionsTo(service);
    connections.lastOpened = now;
    connections.lastReached = now;
    connections.failedUpstreams.clear();
  }

  /** Records that bytes of a response of the service were received. */
  public void recordReceived(String service, Instant now) {
    Connections connections = connectionsTo(service);
    connections.lastReached = now;
    connections.failedUpstreams.clear();
  }

  /**
   * Records that a connection to an upstream of the service failed to open.
   *
   * @param startedAt the start of the attempt
   */
  public void recordFailure(String service, String upstream, Instant startedAt, Instant now) {
    Connections connections = connectionsTo(service);
    if (startedAt.isBefore(connections.lastReached)) {
      return;
    }
    boolean unrelated =
        !connections.failedUpstreams.isEmpty()
            && Duration.between(connections.lastFailure, now).compareTo(MAXIMUM_GAP) > 0;
    if (unrelated && !isUnreachable(service)) {
      connections.failedUpstreams.clear();
    }
    connections.lastFailure = now;
    connections.failedUpstreams.add(upstream);
  }

  /** Returns whether this instance seems to reach no upstream of the service. */
  public boolean isUnreachable(String service) {
    Connections connections = byService.get(service);
    if (connections == null || connections.failedUpstreams.isEmpty()) {
      return false;
    }
    Collection<String> upstreams = upstreamsOf.apply(service);
    long failed = upstreams.stream().filter(connections.failedUpstreams::contains).count();
    return failed > 0 && failed >= Math.min(MINIMUM_UPSTREAMS, upstreams.size());
  }

  /** Returns whether a connection to the upstream has failed since the service was last reached. */
  public boolean hasFailed(String service, String upstream) {
    Connections connections = byService.get(service);
    return connections != null && connections.failedUpstreams.contains(upstream);
  }

  /** Returns the time since a connection to the service last opened, empty if none has. */
  public Optional<Duration> sinceLastOpened(String service, Instant now) {
    return Optional.ofNullable(byService.get(service))
        .filter(connections -> connections.lastOpened.isAfter(Instant.MIN))
        .map(connections -> Duration.between(connections.lastOpened, now));
  }
}
