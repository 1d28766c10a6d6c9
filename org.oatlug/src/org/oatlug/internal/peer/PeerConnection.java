// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.peer;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.oatlug.errors.MalformedFrameException;
import org.oatlug.errors.PeerUnavailableException;

/**
 * Exchanges requests and responses over a connection after the handshake.
 *
 * <p>Invariants: each request completes exactly once: with its response, a timeout, or the end of
 * the connection. A late response is dropped. A connection that receives nothing while requests
 * time out is closed, so that the next request opens a new one: the network may drop a connection
 * without a reset while new connections succeed. Used from one event loop.
 */
final class PeerConnection implements Frames.Receiver {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The number of timeouts, with no frame received in between, that closes the connection. */
  private static final int MAXIMUM_TIMEOUTS = 2;

  private final Vertx vertx;
  private final NetSocket socket;
  private final Member peer;
  private final PeerHandler handler;
  private final Map<Long, Consumer<PeerMessage>> pendingRequests = new HashMap<>();
  private long lastId;
  private int timeouts;
  private boolean closed;

  PeerConnection(Vertx vertx, NetSocket socket, Member peer, PeerHandler handler) {
    this.vertx = vertx;
    this.socket = socket;
    this.peer = peer;
    this.handler = handler;
  }

  boolean isOpen() {
    return !closed;
  }

  void close() {
    socket.close();
  }

  void closed() {
    closed = true;
    Map<Long, Consumer<PeerMessage>> aborted = new HashMap<>(pendingRequests);
    pendingRequests.clear();
    aborted
        .values()
        .forEach(completion -> completion.accept(new PeerMessage.Failed("connection closed")));
  }

  Uni<PeerMessage> sendRequest(PeerMessage message, Duration timeout) {
    return Uni.createFrom().emitter(emitter -> send(message, timeout, emitter));
  }

  private void send(
      PeerMessage message, Duration timeout, UniEmitter<? super PeerMessage> emitter) {
    if (closed) {
      emitter.fail(new PeerUnavailableException(peer.name()));
      return;
    }
    long id = ++lastId;
    long timer = vertx.setTimer(timeout.toMillis(), unused -> timedOut(id));
    pendingRequests.put(
        id,
        response -> {
          vertx.cancelTimer(timer);
          if (response == null || response instanceof PeerMessage.Failed) {
            emitter.fail(new PeerUnavailableException(peer.name()));
          } else {
            emitter.complete(response);
          }
        });
    socket.write(Frames.encode(new Frames.Envelope(id, false, message)));
  }

  private void timedOut(long id) {
    complete(id, null);
    timeouts++;
    if (timeouts >= MAXIMUM_TIMEOUTS && !closed) {
      logger.atInfo().log("closing the unresponsive connection to %s", peer.name());
      closed();
      socket.close();
    }
  }

  @Override
  public void received(Frames.Envelope envelope) {
    timeouts = 0;
    if (envelope.answer()) {
      complete(envelope.id(), envelope.message());
      return;
    }
    Uni<PeerMessage> response;
    try {
      response = handler.handle(peer, envelope.message());
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("handling a message of %s failed", peer.name());
      response = Uni.createFrom().item(new PeerMessage.Failed(e.getClass().getSimpleName()));
    }
    response
        .subscribe()
        .with(
            message -> reply(envelope.id(), message),
            failure -> reply(envelope.id(), new PeerMessage.Failed(failure.getMessage())));
  }

  @Override
  public void malformed(MalformedFrameException failure) {
    logger.atWarning().log("closing the connection to %s: %s", peer.name(), failure.getMessage());
    socket.close();
  }

  private void reply(long id, PeerMessage message) {
    if (!closed) {
      socket.write(Frames.encode(new Frames.Envelope(id, true, message)));
    }
  }

  private void complete(long id, PeerMessage response) {
    Consumer<PeerMessage> completion = pendingRequests.remove(id);
    if (completion != null) {
      completion.accept(response);
    }
  }
}
