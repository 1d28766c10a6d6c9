// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.forward;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.oatlug.internal.util.TickSystem;
import org.oatlug.internal.util.TimeoutEvidence;

/**
 * Opens connections to the upstreams of lost services until one opens, so that no request has to
 * find out.
 *
 * <p>Invariant: at most one probe per service is open, and one begins per {@link #INTERVAL}. Owned
 * by one event loop, not thread-safe.
 */
public final class PathProbes implements TickSystem {
  /** The time between the beginnings of two probes. */
  private static final Duration INTERVAL = Duration.ofMillis(200);

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  private final ServicePaths paths;
  private final TimeoutEvidence timeouts;
  private final Function<String, Map<String, SocketAddress>> addressesOf;
  private final InstantSource clock;
  private final Random random;
  private final NetClient client;
  private final Map<String, Instant> probedAt = new HashMap<>();
  private final Set<String> probing = new HashSet<>();

  private PathProbes(
      Vertx vertx,
      ServicePaths paths,
      TimeoutEvidence timeouts,
      Function<String, Map<String, SocketAddress>> addressesOf,
      InstantSource clock,
      RandomGenerator random) {
    this.paths = paths;
    this.timeouts = timeouts;
    this.addressesOf = addressesOf;
    this.clock = clock;
    this.random = new Random(random.nextLong());
    this.client =
        vertx.createNetClient(
            new NetClientOptions().setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()));
  }

  /**
   * Returns probes of the services that are lost.
   *
   * @param timeouts decides whether a connect timeout is evidence
   * @param addressesOf returns the addresses of the upstreams of a service by name
   */
  public static PathProbes create(
      Vertx vertx,
      ServicePaths paths,
      TimeoutEvidence timeouts,
      Function<String, Map<String, SocketAddress>> addressesOf,
      InstantSource clock,
      RandomGenerator random) {
    PathProbes probes = new PathProbes(vertx, paths, timeouts, addressesOf, clock, random);
    paths.onLost(probes::probe);
    return probes;
  }

  @Override
  public void tick() {
    Instant now = clock.instant();
    for (String service : List.copyOf(paths.lostServices())) {
      Instant last = probedAt.getOrDefault(service, Instant.MIN);
      if (last.equals(Instant.MIN) || !now.isBefore(last.plus(INTERVAL))) {
        probe(service);
      }
    }
  }

  /** Probes an upstream of the service, first one to which no connection has failed. */
  private void probe(String service) {
    List<Map.Entry<String, SocketAddress>> upstreams =
        new ArrayList<>(addressesOf.apply(service).entrySet());
    if (upstreams.isEmpty() || !probing.add(service)) {
      return;
    }
    Instant startedAt = clock.instant();
    probedAt.put(service, startedAt);
    Collections.shuffle(upstreams, random);
    Map.Entry<String, SocketAddress> upstream =
        Collections.min(
            upstreams, Comparator.comparing(entry -> paths.hasFailed(service, entry.getKey())));
    client
        .connect(upstream.getValue())
        .onComplete(
            socket -> opened(service, socket),
            failure -> {
              probing.remove(service);
              if (timeouts.counts(failure, startedAt, CONNECT_TIMEOUT)) {
                paths.recordFailure(service, upstream.getKey(), startedAt);
              }
            });
  }

  private void opened(String service, NetSocket socket) {
    probing.remove(service);
    socket.close();
    paths.recordOpened(service);
  }
}
