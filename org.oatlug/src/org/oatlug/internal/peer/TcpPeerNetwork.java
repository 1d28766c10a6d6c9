// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ConnectTimeoutException;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.PemTrustOptions;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.oatlug.config.Settings;
import org.oatlug.errors.MalformedFrameException;
import org.oatlug.errors.PeerUnavailableException;
import org.oatlug.internal.util.TimeoutRule;
import org.oatlug.internal.util.TlsFiles;
import org.oatlug.internal.util.Unis;

/**
 * Implements the peer protocol over TCP, with optional TLS.
 *
 * <p>Invariant: no message of a connection is handled before both sides have proved that they have
 * the shared key; a connection whose handshake times out is closed. There is one connection per
 * peer and direction, opened on first use. If a process responds on a new connection after an old
 * one to it was closed as silent, the network has dropped connections without a reset, and all
 * others are probed. Used from one event loop.
 */
public final class TcpPeerNetwork implements PeerNetwork {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1000);
  private static final Duration HANDSHAKE_TIMEOUT = Duration.ofMillis(2000);

  /** The minimum time between probes of all connections. */
  private static final long PROBE_INTERVAL_MILLIS = 1000;

  private final Vertx vertx;
  private final Settings.Peers settings;
  private final Supplier<Member> self;
  private final PeerHandler handler;
  private final PeerProof proof;
  private final NetClient client;
  private final Map<String, Future<PeerConnection>> connections = new HashMap<>();
  private boolean probedRecently;
  private Runnable onSilentConnection = () -> {};
  private TimeoutRule timeouts = TimeoutRule.ALWAYS;

  private TcpPeerNetwork(
      Vertx vertx, Settings.Peers settings, Supplier<Member> self, PeerHandler handler) {
    this.vertx = vertx;
    this.settings = settings;
    this.self = self;
    this.handler = handler;
    this.proof = PeerProof.withKey(settings.key());
    this.client = vertx.createNetClient(clientOptions(settings));
  }

  /**
   * Returns the network of an instance.
   *
   * @param self supplies the current record of this instance
   * @param handler handles the messages of peers
   */
  public static TcpPeerNetwork create(
      Vertx vertx, Settings.Peers settings, Supplier<Member> self, PeerHandler handler) {
    return new TcpPeerNetwork(vertx, settings, self, handler);
  }

  /** Sets the action that runs when a connection is closed because it is silent. */
  public void onSilentConnection(Runnable action) {
    onSilentConnection = action;
  }

  /** Sets the rule by which timeouts are evidence; called before the first request. */
  public void useTimeoutRule(TimeoutRule rule) {
    timeouts = rule;
  }

  /** Starts to accept connections of peers. */
  public Future<NetServer> listen() {
    NetServerOptions options =
        new NetServerOptions().setHost(settings.host()).setPort(settings.port());
    TlsFiles.apply(settings.tls(), options);
    return vertx.createNetServer(options).connectHandler(this::accept).listen();
  }

  @Override
  public Uni<PeerMessage> sendRequest(Member peer, PeerMessage message, Duration timeout) {
    return Unis.fromFuture(() -> connectionWithin(peer, timeout))
        .onItem()
        .transformToUni(connection -> connection.sendRequest(message, timeout));
  }

  /**
   * Returns the connection, or fails if it is not established within the timeout; later requests
   * may still use a connection that is established after it. Without this bound a request to an
   * unresponsive instance takes two seconds regardless of its timeout.
   */
  private Future<PeerConnection> connectionWithin(Member peer, Duration timeout) {
    BooleanSupplier counts = timeouts.start(timeout);
    return connection(peer)
        .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .recover(failure -> Future.failedFuture(unavailable(peer, failure, counts)));
  }

  /**
   * Returns the failure of a request to the peer.
   *
   * @param counts returns whether a timeout is evidence
   */
  private static PeerUnavailableException unavailable(
      Member peer, Throwable failure, BooleanSupplier counts) {
    boolean timedOut =
        failure instanceof TimeoutException || failure instanceof ConnectTimeoutException;
    boolean isEvidence =
        timedOut ? counts.getAsBoolean() : PeerUnavailableException.isEvidence(failure);
    return isEvidence
        ? new PeerUnavailableException(peer.name())
        : PeerUnavailableException.duringOwnDelay(peer.name());
  }

  private Future<PeerConnection> connection(Member peer) {
    String address = peer.host() + ":" + peer.peerPort();
    Future<PeerConnection> existing = connections.get(address);
    if (existing != null && !existing.isComplete()) {
      return existing;
    }
    if (existing != null && existing.succeeded() && existing.result().isOpen()) {
      return existing;
    }
    BooleanSupplier counts = timeouts.start(CONNECT_TIMEOUT);
    Future<PeerConnection> opened =
        client
            .connect(peer.peerPort(), peer.host())
            .compose(socket -> startHandshake(socket, peer))
            .recover(failure -> Future.failedFuture(unavailable(peer, failure, counts)));
    connections.put(address, opened);
    return opened;
  }

  /** Reconnects to a process after its connection was silent, to learn whether it still runs. */
  private void handleSilent(Member dialed, String process) {
    onSilentConnection.run();
    connection(dialed)
        .onSuccess(
            reconnected -> {
              if (reconnected.peer().process().equals(process)) {
                probeOthers(reconnected);
              }
            })
        .onFailure(failure -> logger.atFine().log("cannot reconnect to %s", dialed.name()));
  }

  private void probeOthers(PeerConnection replacement) {
    if (probedRecently) {
      return;
    }
    probedRecently = true;
    vertx.setTimer(PROBE_INTERVAL_MILLIS, unused -> probedRecently = false);
    List<PeerConnection> others =
        connections.values().stream()
            .filter(Future::succeeded)
            .map(Future::result)
            .filter(connection -> connection.isOpen() && connection != replacement)
            .toList();
    logger.atInfo().log(
        "a connection to %s was silent while it runs, probing %d others",
        replacement.peer().name(), others.size());
    others.forEach(PeerConnection::probe);
  }

  private Future<PeerConnection> startHandshake(NetSocket socket, Member dialed) {
    Promise<PeerConnection> promise = Promise.promise();
    CallerHandshake handshake = new CallerHandshake(socket, dialed, promise);
    limitHandshake(socket, promise);
    socket.closeHandler(unused -> handshake.closed());
    Frames.read(socket, handshake);
    return promise.future();
  }

  private void accept(NetSocket socket) {
    Promise<PeerConnection> promise = Promise.promise();
    AcceptorHandshake handshake = new AcceptorHandshake(socket, promise);
    limitHandshake(socket, promise);
    socket.closeHandler(unused -> handshake.closed());
    Frames.read(socket, handshake);
    send(socket, new PeerMessage.Challenge(handshake.nonce));
  }

  private void limitHandshake(NetSocket socket, Promise<PeerConnection> connection) {
    BooleanSupplier counts = timeouts.start(HANDSHAKE_TIMEOUT);
    long timer =
        vertx.setTimer(
            HANDSHAKE_TIMEOUT.toMillis(),
            unused -> {
              if (!counts.getAsBoolean()) {
                String address = String.valueOf(socket.remoteAddress());
                connection.tryFail(PeerUnavailableException.duringOwnDelay(address));
              }
              socket.close();
            });
    connection.future().onComplete(unused -> vertx.cancelTimer(timer));
  }

  private static void send(NetSocket socket, PeerMessage message) {
    socket.write(Frames.encode(new Frames.Envelope(0, false, message)));
  }

  private static NetClientOptions clientOptions(Settings.Peers settings) {
    NetClientOptions options =
        new NetClientOptions()
            .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
            .setLocalAddress(settings.host())
            .setTcpNoDelay(true);
    Optional<Settings.Tls> tls = settings.tls();
    tls.ifPresent(
        tlsFiles ->
            options
                .setSsl(true)
                .setHostnameVerificationAlgorithm("")
                .setTrustOptions(new PemTrustOptions().addCertPath(tlsFiles.trust())));
    return options;
  }

  /** One side of a handshake, which delegates to a connection after its success. */
  private abstract class Handshake implements Frames.Receiver {
    final NetSocket socket;
    final String nonce = UUID.randomUUID().toString();
    private final Promise<PeerConnection> promise;
    private PeerConnection connection;

    Handshake(NetSocket socket, Promise<PeerConnection> promise) {
      this.socket = socket;
      this.promise = promise;
    }

    abstract void handleHandshake(PeerMessage message) throws MalformedFrameException;

    @Override
    public void received(Frames.Envelope envelope) {
      if (connection != null) {
        connection.received(envelope);
        return;
      }
      try {
        handleHandshake(envelope.message());
      } catch (MalformedFrameException e) {
        malformed(e);
      }
    }

    @Override
    public void malformed(MalformedFrameException failure) {
      logger.atWarning().log(
          "closing the connection with %s: %s", socket.remoteAddress(), failure.getMessage());
      socket.close();
    }

    void established(Member peer, Runnable onSilent) {
      connection = new PeerConnection(vertx, socket, peer, handler, timeouts, onSilent);
      promise.complete(connection);
    }

    void closed() {
      if (connection != null) {
        connection.closed();
      }
      promise.tryFail(new PeerUnavailableException(String.valueOf(socket.remoteAddress())));
    }
  }

  /** The calling side. */
  private final class CallerHandshake extends Handshake {
    private final Member dialed;
    private String acceptorNonce;

    CallerHandshake(NetSocket socket, Member dialed, Promise<PeerConnection> promise) {
      super(socket, promise);
      this.dialed = dialed;
    }

    @Override
    void handleHandshake(PeerMessage message) throws MalformedFrameException {
      if (message instanceof PeerMessage.Challenge challenge && acceptorNonce == null) {
        acceptorNonce = challenge.nonce();
        Member own = self.get();
        String ownProof = proof.ofCaller(acceptorNonce, nonce, own);
        send(socket, new PeerMessage.Hello(own, nonce, ownProof));
      } else if (message instanceof PeerMessage.Welcome welcome && acceptorNonce != null) {
        String expected = proof.ofAcceptor(acceptorNonce, nonce, welcome.member());
        if (!PeerProof.matches(expected, welcome.proof())) {
          throw new MalformedFrameException("the proof of the shared key is invalid");
        }
        String process = welcome.member().process();
        established(welcome.member(), () -> handleSilent(dialed, process));
      } else {
        throw new MalformedFrameException("unexpected message in the handshake");
      }
    }
  }

  /** The accepting side. */
  private final class AcceptorHandshake extends Handshake {
    AcceptorHandshake(NetSocket socket, Promise<PeerConnection> promise) {
      super(socket, promise);
    }

    @Override
    void handleHandshake(PeerMessage message) throws MalformedFrameException {
      if (!(message instanceof PeerMessage.Hello hello)) {
        throw new MalformedFrameException("unexpected message in the handshake");
      }
      String expected = proof.ofCaller(nonce, hello.nonce(), hello.member());
      if (!PeerProof.matches(expected, hello.proof())) {
        throw new MalformedFrameException("the proof of the shared key is invalid");
      }
      Member own = self.get();
      send(socket, new PeerMessage.Welcome(own, proof.ofAcceptor(nonce, hello.nonce(), own)));
      // Requests go out on connections that this instance opened, so this one is never probed.
      established(hello.member(), () -> {});
    }
  }
}
