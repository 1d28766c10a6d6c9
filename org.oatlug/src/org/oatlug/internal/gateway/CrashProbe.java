// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.net.ConnectException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.util.BoundedMap;
import org.oatlug.internal.util.TimeoutEvidence;

/**
 * Determines whether an upstream process has crashed after a response of it was interrupted.
 *
 * <p>A lost or truncated response looks the same whether the process crashed or the network failed.
 * So the probe opens a connection to the address: it is refused at once if no process listens any
 * more, and accepted by a live process. A network partition may refuse connections, too, so a
 * refused one counts only if a reference, another upstream, accepts one then. A timeout during lag
 * of the own event loop says nothing, and the probe is repeated once. Invariants: at most one probe
 * of an upstream process is under way; each action runs at most once. Used from one event loop.
 */
final class CrashProbe {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The connect timeout: many round trips between availability zones. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** Crashed processes to remember: all whose interrupted responses may still be reported. */
  private static final int MAXIMUM_CRASHED = 256;

  private final Vertx vertx;
  private final InstantSource clock;
  private final TimeoutEvidence timeouts;
  private final Function<UpstreamRecord, List<SocketAddress>> referencesOf;
  private final Map<String, List<Consumer<ProcessState>>> pendingActions = new HashMap<>();
  private final Map<String, Boolean> crashed = BoundedMap.withMaximumSize(MAXIMUM_CRASHED);

  private Optional<NetClient> client = Optional.empty();

  /** The state of an upstream process as far as a connection shows it. */
  enum ProcessState {
    /** It refuses connections, and the network does not explain it. */
    CRASHED,
    /** It accepts a connection. */
    ALIVE,
    /** It does not respond, or the network may be the reason. */
    UNKNOWN
  }

  private CrashProbe(
      Vertx vertx,
      InstantSource clock,
      TimeoutEvidence timeouts,
      Function<UpstreamRecord, List<SocketAddress>> referencesOf) {
    this.vertx = vertx;
    this.clock = clock;
    this.timeouts = timeouts;
    this.referencesOf = referencesOf;
  }

  /**
   * Returns a probe that has recorded no crashes yet.
   *
   * @param timeouts decides whether a connect timeout is evidence
   * @param referencesOf returns the addresses of other upstreams that should accept connections
   *     unless this instance is partitioned; empty if there are none, and a refused connection then
   *     counts by itself
   */
  static CrashProbe create(
      Vertx vertx,
      InstantSource clock,
      TimeoutEvidence timeouts,
      Function<UpstreamRecord, List<SocketAddress>> referencesOf) {
    return new CrashProbe(vertx, clock, timeouts, referencesOf);
  }

  /** Returns whether the process is known to have crashed. */
  boolean hasCrashed(String process) {
    return crashed.containsKey(process);
  }

  /** Returns the client, created on first use, because most instances never need it. */
  private NetClient client() {
    if (client.isEmpty()) {
      NetClientOptions options =
          new NetClientOptions().setConnectTimeout((int) CONNECT_TIMEOUT.toMillis());
      client = Optional.of(vertx.createNetClient(options));
    }
    return client.get();
  }

  /** Runs the action if the upstream process has crashed, now or as soon as that is known. */
  void ifCrashed(String process, UpstreamRecord upstream, Runnable action) {
    check(
        process,
        upstream,
        state -> {
          if (state == ProcessState.CRASHED) {
            action.run();
          }
        });
  }

  /** Calls the action with the state of the upstream process, now or as soon as it is known. */
  void check(String process, UpstreamRecord upstream, Consumer<ProcessState> action) {
    if (crashed.containsKey(process)) {
      action.accept(ProcessState.CRASHED);
      return;
    }
    List<Consumer<ProcessState>> pending = pendingActions.get(process);
    if (pending != null) {
      pending.add(action);
      return;
    }
    pendingActions.put(process, new ArrayList<>(List.of(action)));
    connect(process, upstream, true);
  }

  private void connect(String process, UpstreamRecord upstream, boolean repeatable) {
    Instant startedAt = clock.instant();
    client()
        .connect(upstream.port(), upstream.host())
        .onComplete(
            socket -> connected(process, socket),
            failure -> {
              if (repeatable && !timeouts.counts(failure, startedAt, CONNECT_TIMEOUT)) {
                connect(process, upstream, false);
              } else {
                connectFailed(process, upstream, failure);
              }
            });
  }

  private void connected(String process, NetSocket socket) {
    socket.close();
    complete(process, ProcessState.ALIVE);
  }

  private void complete(String process, ProcessState state) {
    pendingActions.remove(process).forEach(action -> action.accept(state));
  }

  private void connectFailed(String process, UpstreamRecord upstream, Throwable failure) {
    if (!isRefused(failure)) {
      complete(process, ProcessState.UNKNOWN);
      return;
    }
    List<SocketAddress> references = referencesOf.apply(upstream);
    if (references.isEmpty()) {
      confirm(process);
      return;
    }
    List<Future<NetSocket>> connections =
        references.stream().map(reference -> client().connect(reference)).toList();
    connections.forEach(connection -> connection.onSuccess(NetSocket::close));
    Future.any(connections)
        .onComplete(
            unused -> confirm(process), noneAccepts -> complete(process, ProcessState.UNKNOWN));
  }

  private void confirm(String process) {
    crashed.put(process, Boolean.TRUE);
    logger.atInfo().log(
        "upstream process %s has crashed under %d attempts of this instance",
        process, pendingActions.get(process).size());
    complete(process, ProcessState.CRASHED);
  }

  private static boolean isRefused(Throwable failure) {
    return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
  }
}
