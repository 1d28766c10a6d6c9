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
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.oatlug.errors.MalformedFrameException;
import org.oatlug.errors.PeerUnavailableException;
import org.oatlug.internal.util.TimeoutRule;

/**
 * Exchanges requests and responses over a connection after the handshake.
 *
 * <p>Invariants: each request completes exactly once: with its response, a timeout, or the end of
 * the connection. A late response is dropped. A connection on which a request timed out is probed,
 * and closed as silent if it still receives nothing: the network may drop a connection without a
 * reset while new connections succeed. Used from one event loop.
 */
final class PeerConnection implements Frames.Receiver {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The time within which a probed connection must receive any frame. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);

  private final Vertx vertx;
  private final NetSocket socket;
  private final Member peer;
  private final PeerHandler handler;
  private final TimeoutRule timeouts;
  private final Map<Long, Consumer<PeerMessage>> pendingRequests = new HashMap<>();
  private final Runnable onSilent;
  private long lastId;
  private long receivedFrames;
  private boolean probing;
  private boolean closed;

  /**
   * Creates an established connection.
   *
   * @param timeouts decides which timeouts are evidence about the peer
   * @param onSilent runs when the connection is closed because it is silent
   */
  PeerConnection(
      Vertx vertx,
      NetSocket socket,
      Member peer,
      PeerHandler handler,
      TimeoutRule timeouts,
      Runnable onSilent) {
    this.vertx = vertx;
    this.socket = socket;
    this.peer = peer;
    this.handler = handler;
    this.timeouts = timeouts;
    this.onSilent = onSilent;
  }

  /** Returns the record of the peer at the time of the handshake. */
  Member peer() {
    return peer;
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
    long received = receivedFrames;
    BooleanSupplier counts = timeouts.start(timeout);
    long timer = vertx.setTimer(timeout.toMillis(), unused -> timedOut(id, received));
    pendingRequests.put(
        id,
        response -> {
          vertx.cancelTimer(timer);
          if (response == null && !counts.getAsBoolean()) {
            emitter.fail(PeerUnavailableException.duringOwnDelay(peer.name()));
          } else if (response == null || response instanceof PeerMessage.Failed) {
            emitter.fail(new PeerUnavailableException(peer.name()));
          } else {
            emitter.complete(response);
          }
        });
    socket.write(Frames.encode(new Frames.Envelope(id, false, message)));
  }

  private void timedOut(long id, long receivedBefore) {
    complete(id, null);
    if (receivedFrames == receivedBefore) {
      probe();
    }
  }

  /**
   * Closes the connection if it receives nothing within the probe timeout; probes it again if this
   * instance was late itself.
   */
  void probe() {
    if (closed || probing) {
      return;
    }
    probing = true;
    long received = receivedFrames;
    BooleanSupplier counts = timeouts.start(PROBE_TIMEOUT);
    vertx.setTimer(PROBE_TIMEOUT.toMillis(), unused -> endProbe(received, counts));
    sendRequest(new PeerMessage.Ping(List.of()), PROBE_TIMEOUT.multipliedBy(2))
        .subscribe()
        .with(response -> {}, failure -> logger.atFine().log("probe of %s failed", peer.name()));
  }

  private void endProbe(long receivedBefore, BooleanSupplier counts) {
    probing = false;
    if (receivedFrames != receivedBefore || closed) {
      return;
    }
    if (!counts.getAsBoolean()) {
      probe();
    } else {
      logger.atInfo().log(
          "closing the silent connection to %s, pending=%d", peer.name(), pendingRequests.size());
      closed();
      socket.close();
      onSilent.run();
    }
  }

  @Override
  public void received(Frames.Envelope envelope) {
    receivedFrames++;
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
