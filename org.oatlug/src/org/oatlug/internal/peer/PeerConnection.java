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
 * One connection between two instances, after the handshake.
 *
 * <p>Invariants: each question ends exactly once: with its answer, a time-out, or the end of the
 * connection. An answer that comes late is dropped. A connection that is silent while questions are
 * open is closed, so that the next question opens another: a path may lose a connection without a
 * reset while new ones work. Used from one event loop.
 */
final class PeerConnection implements Frames.Receiver {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** After so many questions in a row without any sign of the peer the connection is closed. */
  private static final int MOST_UNANSWERED = 2;

  private final Vertx vertx;
  private final NetSocket socket;
  private final Member peer;
  private final PeerHandler handler;
  private final Map<Long, Consumer<PeerMessage>> waiting = new HashMap<>();
  private long lastId;
  private int unanswered;
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
    Map<Long, Consumer<PeerMessage>> open = new HashMap<>(waiting);
    waiting.clear();
    open.values().forEach(waiter -> waiter.accept(new PeerMessage.Failed("connection closed")));
  }

  Uni<PeerMessage> ask(PeerMessage message, Duration patience) {
    return Uni.createFrom().emitter(emitter -> start(message, patience, emitter));
  }

  private void start(
      PeerMessage message, Duration patience, UniEmitter<? super PeerMessage> emitter) {
    if (closed) {
      emitter.fail(new PeerUnavailableException(peer.name()));
      return;
    }
    long id = ++lastId;
    long timer = vertx.setTimer(patience.toMillis(), unused -> timedOut(id));
    waiting.put(
        id,
        answer -> {
          vertx.cancelTimer(timer);
          if (answer == null || answer instanceof PeerMessage.Failed) {
            emitter.fail(new PeerUnavailableException(peer.name()));
          } else {
            emitter.complete(answer);
          }
        });
    socket.write(Frames.encode(new Frames.Envelope(id, false, message)));
  }

  private void timedOut(long id) {
    finish(id, null);
    unanswered++;
    if (unanswered >= MOST_UNANSWERED && !closed) {
      logger.atInfo().log("connection with %s is silent and is closed", peer.name());
      closed();
      socket.close();
    }
  }

  @Override
  public void received(Frames.Envelope envelope) {
    unanswered = 0;
    if (envelope.answer()) {
      finish(envelope.id(), envelope.message());
      return;
    }
    Uni<PeerMessage> answer;
    try {
      answer = handler.handle(peer, envelope.message());
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("message of %s failed", peer.name());
      answer = Uni.createFrom().item(new PeerMessage.Failed(e.getClass().getSimpleName()));
    }
    answer
        .subscribe()
        .with(
            message -> reply(envelope.id(), message),
            failure -> reply(envelope.id(), new PeerMessage.Failed(failure.getMessage())));
  }

  @Override
  public void broken(MalformedFrameException failure) {
    logger.atWarning().log("peer %s is cut off: %s", peer.name(), failure.getMessage());
    socket.close();
  }

  private void reply(long id, PeerMessage message) {
    if (!closed) {
      socket.write(Frames.encode(new Frames.Envelope(id, true, message)));
    }
  }

  private void finish(long id, PeerMessage answer) {
    Consumer<PeerMessage> waiter = waiting.remove(id);
    if (waiter != null) {
      waiter.accept(answer);
    }
  }
}
