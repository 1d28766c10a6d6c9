// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.peer;

import com.google.common.flogger.FluentLogger;
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
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.oatlug.config.Settings;
import org.oatlug.errors.MalformedFrameException;
import org.oatlug.errors.PeerUnavailableException;
import org.oatlug.internal.util.TlsFiles;
import org.oatlug.internal.util.Unis;

/**
 * The peers' protocol over TCP, with TLS by settings.
 *
 * <p>Invariant: nothing is taken from a connection before both sides proved the shared key; a
 * connection that has not done so in time is closed. One connection a direction and peer, opened on
 * first use. Used from one event loop.
 */
public final class TcpPeers implements PeerNetwork {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final long HANDSHAKE_TIMEOUT_MILLIS = 2000;

  private final Vertx vertx;
  private final Settings.Peers settings;
  private final Supplier<Member> self;
  private final PeerHandler handler;
  private final PeerProof proof;
  private final NetClient client;
  private final Map<String, Future<PeerConnection>> connections = new HashMap<>();

  private TcpPeers(
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
   * @param self the record of this instance as it stands
   * @param handler answers the messages of peers
   */
  public static TcpPeers create(
      Vertx vertx, Settings.Peers settings, Supplier<Member> self, PeerHandler handler) {
    return new TcpPeers(vertx, settings, self, handler);
  }

  /** Starts to accept peers. */
  public Future<NetServer> listen() {
    NetServerOptions options =
        new NetServerOptions().setHost(settings.host()).setPort(settings.port());
    TlsFiles.apply(settings.tls(), options);
    return vertx.createNetServer(options).connectHandler(this::accept).listen();
  }

  @Override
  public Uni<PeerMessage> ask(Member peer, PeerMessage message, Duration patience) {
    return Unis.fromFuture(() -> connectionWithin(peer, patience))
        .onItem()
        .transformToUni(connection -> connection.ask(message, patience));
  }

  /**
   * Returns the connection if it comes about in time; otherwise it may still serve later questions.
   * Without this bound a question to a silent instance took two seconds, whatever its patience.
   */
  private Future<PeerConnection> connectionWithin(Member peer, Duration patience) {
    return connection(peer)
        .timeout(patience.toMillis(), TimeUnit.MILLISECONDS)
        .recover(failure -> Future.failedFuture(new PeerUnavailableException(peer.name())));
  }

  private Future<PeerConnection> connection(Member peer) {
    String address = peer.host() + ":" + peer.peerPort();
    Future<PeerConnection> known = connections.get(address);
    if (known != null && !known.isComplete()) {
      return known;
    }
    if (known != null && known.succeeded() && known.result().isOpen()) {
      return known;
    }
    Future<PeerConnection> opened =
        client
            .connect(peer.peerPort(), peer.host())
            .compose(this::greet)
            .recover(failure -> Future.failedFuture(new PeerUnavailableException(peer.name())));
    connections.put(address, opened);
    return opened;
  }

  private Future<PeerConnection> greet(NetSocket socket) {
    Promise<PeerConnection> promise = Promise.promise();
    Greeting greeting = new Greeting(socket, promise);
    limitHandshake(socket, promise.future());
    socket.closeHandler(unused -> greeting.closed());
    Frames.read(socket, greeting);
    return promise.future();
  }

  private void accept(NetSocket socket) {
    Promise<PeerConnection> promise = Promise.promise();
    Acceptance acceptance = new Acceptance(socket, promise);
    limitHandshake(socket, promise.future());
    socket.closeHandler(unused -> acceptance.closed());
    Frames.read(socket, acceptance);
    send(socket, new PeerMessage.Challenge(acceptance.nonce));
  }

  private void limitHandshake(NetSocket socket, Future<PeerConnection> done) {
    long timer = vertx.setTimer(HANDSHAKE_TIMEOUT_MILLIS, unused -> socket.close());
    done.onComplete(unused -> vertx.cancelTimer(timer));
  }

  private static void send(NetSocket socket, PeerMessage message) {
    socket.write(Frames.encode(new Frames.Envelope(0, false, message)));
  }

  private static NetClientOptions clientOptions(Settings.Peers settings) {
    NetClientOptions options =
        new NetClientOptions()
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
            .setLocalAddress(settings.host())
            .setTcpNoDelay(true);
    Optional<Settings.Tls> tls = settings.tls();
    tls.ifPresent(
        files ->
            options
                .setSsl(true)
                .setHostnameVerificationAlgorithm("")
                .setTrustOptions(new PemTrustOptions().addCertPath(files.trust())));
    return options;
  }

  /** One side of a handshake, which hands over to a connection when it succeeded. */
  private abstract class Handshake implements Frames.Receiver {
    final NetSocket socket;
    final String nonce = UUID.randomUUID().toString();
    private final Promise<PeerConnection> promise;
    private PeerConnection connection;

    Handshake(NetSocket socket, Promise<PeerConnection> promise) {
      this.socket = socket;
      this.promise = promise;
    }

    abstract void greeted(PeerMessage message) throws MalformedFrameException;

    @Override
    public void received(Frames.Envelope envelope) {
      if (connection != null) {
        connection.received(envelope);
        return;
      }
      try {
        greeted(envelope.message());
      } catch (MalformedFrameException e) {
        broken(e);
      }
    }

    @Override
    public void broken(MalformedFrameException failure) {
      logger.atWarning().log(
          "connection with %s is closed: %s", socket.remoteAddress(), failure.getMessage());
      socket.close();
    }

    void established(Member peer) {
      connection = new PeerConnection(vertx, socket, peer, handler);
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
  private final class Greeting extends Handshake {
    private String acceptorNonce;

    Greeting(NetSocket socket, Promise<PeerConnection> promise) {
      super(socket, promise);
    }

    @Override
    void greeted(PeerMessage message) throws MalformedFrameException {
      if (message instanceof PeerMessage.Challenge challenge && acceptorNonce == null) {
        acceptorNonce = challenge.nonce();
        Member me = self.get();
        String shown = proof.ofCaller(acceptorNonce, nonce, me);
        send(socket, new PeerMessage.Hello(me, nonce, shown));
      } else if (message instanceof PeerMessage.Welcome welcome && acceptorNonce != null) {
        String expected = proof.ofAcceptor(acceptorNonce, nonce, welcome.member());
        if (!PeerProof.same(expected, welcome.proof())) {
          throw new MalformedFrameException("the peer has not the shared key");
        }
        established(welcome.member());
      } else {
        throw new MalformedFrameException("unexpected message in the handshake");
      }
    }
  }

  /** The accepting side. */
  private final class Acceptance extends Handshake {
    Acceptance(NetSocket socket, Promise<PeerConnection> promise) {
      super(socket, promise);
    }

    @Override
    void greeted(PeerMessage message) throws MalformedFrameException {
      if (!(message instanceof PeerMessage.Hello hello)) {
        throw new MalformedFrameException("unexpected message in the handshake");
      }
      String expected = proof.ofCaller(nonce, hello.nonce(), hello.member());
      if (!PeerProof.same(expected, hello.proof())) {
        throw new MalformedFrameException("the peer has not the shared key");
      }
      Member me = self.get();
      send(socket, new PeerMessage.Welcome(me, proof.ofAcceptor(nonce, hello.nonce(), me)));
      established(hello.member());
    }
  }
}
