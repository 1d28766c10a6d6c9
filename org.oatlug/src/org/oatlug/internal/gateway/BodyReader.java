// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.ErrorText;
import org.oatlug.errors.RefusedException;

/**
 * Receives the body of one admitted request.
 *
 * <p>A body of known length is read only once memory for all of it is reserved; until then its
 * request waits unread, for a limited time. Invariants: a body is handed on only if it is complete,
 * that is, if it has the declared length; after {@link #stop} nothing is handed on or refused. Used
 * from one event loop.
 */
final class BodyReader {
  /** Retry delay for requests whose bodies do not fit the memory. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);

  /** The maximum number of requests that wait for memory. */
  private static final int MAXIMUM_WAITING = 500;

  private static final long NO_TIMER = -1;

  private final GatewayComponents components;
  private final HttpServerRequest request;
  private final Consumer<Body> onComplete;
  private final Consumer<Refusal> onRefused;
  private final Consumer<Throwable> onError;
  private final BodyBuffer body;
  private OptionalLong declaredBytes = OptionalLong.empty();
  private Optional<BodyMemoryBudget.Waiting> waiting = Optional.empty();
  private long waitTimer = NO_TIMER;
  private Instant deadline = Instant.MAX;
  private boolean stopped;

  private BodyReader(
      GatewayComponents components,
      HttpServerRequest request,
      Consumer<Body> onComplete,
      Consumer<Refusal> onRefused,
      Consumer<Throwable> onError) {
    this.components = components;
    this.request = request;
    this.onComplete = onComplete;
    this.onRefused = onRefused;
    this.onError = onError;
    this.body = BodyBuffer.within(components.bodyMemory());
  }

  /**
   * Returns a reader that has not started.
   *
   * @param onComplete receives the complete body; its memory stays reserved until {@link #stop}
   * @param onRefused receives the reason for which the request cannot be served
   * @param onError receives an error of a handler, after which nothing is handed on
   */
  static BodyReader create(
      GatewayComponents components,
      HttpServerRequest request,
      Consumer<Body> onComplete,
      Consumer<Refusal> onRefused,
      Consumer<Throwable> onError) {
    return new BodyReader(components, request, onComplete, onRefused, onError);
  }

  /**
   * Starts to read the body of the request.
   *
   * @param readBy when a body that does not fit the memory is refused
   * @param completeBy when a body that is not complete is refused, see {@link #checkDeadline}
   */
  void start(Instant readBy, Instant completeBy) {
    deadline = completeBy;
    String length = request.getHeader("Content-Length");
    if (length == null) {
      read();
      return;
    }
    declaredBytes = OptionalLong.of(Long.parseLong(length.trim()));
    long bytes = declaredBytes.getAsLong();
    if (body.tryExpect(bytes)) {
      read();
    } else if (components.bodyMemory().mayFitLater(BodyBuffer.memoryFor(bytes))
        && components.bodyMemory().waiting() < MAXIMUM_WAITING) {
      await(bytes, readBy);
    } else {
      refuseForMemory();
    }
  }

  private void await(long bytes, Instant readBy) {
    components.meters().count("body.waited");
    request.pause();
    CallerSocket.stopReading(request.connection());
    BodyMemoryBudget.Waiting reservation =
        new BodyMemoryBudget.Waiting(BodyBuffer.memoryFor(bytes), () -> run(() -> granted(bytes)));
    waiting = Optional.of(reservation);
    components.bodyMemory().await(reservation);
    waitTimer = components.deadlines().schedule(readBy, () -> run(this::refuseForMemory));
  }

  private void granted(long bytes) {
    body.expectReserved(bytes);
    endWait();
    read();
  }

  private void endWait() {
    if (waiting.isPresent()) {
      components.bodyMemory().withdraw(waiting.get());
      components.deadlines().cancel(waitTimer);
      waiting = Optional.empty();
      CallerSocket.continueReading(request.connection());
    }
  }

  private void read() {
    request.handler(part -> run(() -> append(part)));
    request.endHandler(unused -> run(this::complete));
    request.resume();
  }

  /** Runs a handler; an error ends the request, since a part of its body may be missing. */
  private void run(Runnable handler) {
    try {
      handler.run();
    } catch (RuntimeException | Error e) {
      stop();
      onError.accept(e);
      request.resume();
    }
  }

  private void append(Buffer part) {
    if (stopped) {
      return;
    }
    components.meters().count(InstanceLoadLog.FROM_CALLERS, part.length());
    int limit = components.tables().limits().bodyBytes();
    if (body.length() + (long) part.length() > limit) {
      refuse(tooLarge(limit));
    } else if (!body.tryAppend(part)) {
      refuseForMemory();
    }
  }

  /** Refuses a body that exceeds the limit in force. */
  static void checkLength(long bytes, int limit) throws RefusedException {
    if (bytes > limit) {
      throw new RefusedException(tooLarge(limit));
    }
  }

  private static Refusal tooLarge(int limit) {
    return Refusal.notRun(
        RefusalReason.BODY_TOO_LARGE, ErrorText.format(ErrorText.get().bodyTooLarge, limit));
  }

  private void complete() {
    if (stopped) {
      return;
    }
    deadline = Instant.MAX;
    if (declaredBytes.isPresent() && declaredBytes.getAsLong() != body.length()) {
      refuse(
          Refusal.retryAfter(
              RefusalReason.BODY_INCOMPLETE, ErrorText.get().bodyIncomplete, RETRY_DELAY));
      return;
    }
    onComplete.accept(body.toBody());
  }

  private void refuseForMemory() {
    components.meters().count("body.refused-for-memory");
    refuse(
        Refusal.retryAfter(
            RefusalReason.OVERLOADED, ErrorText.get().bodyMemoryExhausted, RETRY_DELAY));
  }

  /** Refuses a body that is not complete by its deadline; to be called regularly. */
  void checkDeadline(Instant now) {
    if (now.isAfter(deadline)) {
      run(
          () ->
              refuse(
                  Refusal.notRun(RefusalReason.BODY_INCOMPLETE, ErrorText.get().bodyIncomplete)));
    }
  }

  private void refuse(Refusal refusal) {
    stop();
    onRefused.accept(refusal);
    // The rest is read and dropped, because closing with unread bytes resets the connection, which
    // may lose the response.
    request.resume();
  }

  /** Stops reading and releases the memory of the body; may be called again. */
  void stop() {
    stopped = true;
    deadline = Instant.MAX;
    endWait();
    body.release();
  }
}
