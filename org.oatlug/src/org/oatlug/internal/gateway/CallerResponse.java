// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.oatlug.api.Refusal;
import org.oatlug.internal.forward.ForwardingProtocol;
import org.oatlug.internal.http.Problem;

/**
 * Writes the answer to a caller's request.
 *
 * <p>Invariants: nothing is written after the end; an answer that was begun and cannot be completed
 * is aborted by closing the connection, so that it never looks complete. With read-ahead, an answer
 * that was ended stays open until its caller has read it. Used from one event loop.
 */
final class CallerResponse {
  private static final String CONTENT_LENGTH = "Content-Length";
  private static final double MILLIS_PER_SECOND = 1000;

  /** The size up to which a body is within the initial send buffer of a socket, in bytes. */
  private static final int SMALL_BODY_BYTES = 16 * 1024;

  private final HttpServerRequest request;
  private final HttpServerResponse response;
  private final boolean toInstance;
  private Optional<ReadAheadBuffer> readAhead = Optional.empty();
  private Runnable onDisconnect = () -> {};
  private boolean ended;

  private CallerResponse(HttpServerRequest request, boolean toInstance) {
    this.request = request;
    this.toInstance = toInstance;
    this.response = request.response();
  }

  /** Returns the answer to a caller's request. */
  static CallerResponse toCaller(HttpServerRequest request) {
    return new CallerResponse(request, false);
  }

  /** Returns the answer to a request that another instance forwarded; it states its outcome. */
  static CallerResponse toInstance(HttpServerRequest request) {
    return new CallerResponse(request, true);
  }

  /** Sets the handler to call if the caller disconnects before the answer ends. */
  void onDisconnect(Runnable handler) {
    onDisconnect = handler;
    response.exceptionHandler(failure -> disconnected());
    response.closeHandler(unused -> disconnected());
  }

  private void disconnected() {
    readAhead.ifPresent(ReadAheadBuffer::close);
    if (!ended) {
      ended = true;
      onDisconnect.run();
    }
  }

  /** Buffers what the caller does not read, if read-ahead is in use; called before the answer. */
  void bufferUnread(ReadAheadBuffers buffers, AdmittedRequest admitted) {
    readAhead = buffers.open(request, admitted, this::disconnectStalled);
  }

  /** Resets the connection of a caller that does not read. */
  private void disconnectStalled() {
    CallerSocket.reset(request.connection());
    disconnected();
  }

  /** Returns the number of buffered bytes that the caller has not read. */
  long unreadBytes() {
    return readAhead.map(ReadAheadBuffer::heldBytes).orElse(0L);
  }

  /**
   * Returns whether a body that is sent as a whole may wait for its caller, so that it has to be
   * written with {@link #write} to be counted.
   */
  boolean mayStayUnread(int bodyBytes) {
    return readAhead.isPresent()
        && bodyBytes > 0
        && (bodyBytes > SMALL_BODY_BYTES || CallerSocket.unwrittenBytes(request.connection()) > 0);
  }

  /** Begins an answer of the given length. */
  void beginWhole(int status, MultiMap headers, int length) {
    begin(status, headers.set(CONTENT_LENGTH, Integer.toString(length)));
  }

  /** Returns whether the caller disconnected, even if that was not reported yet. */
  boolean isCallerDisconnected() {
    return ended || CallerSocket.isClosed(request.connection());
  }

  boolean isBegun() {
    return response.headWritten();
  }

  boolean isEnded() {
    return ended;
  }

  /** Announces that the connection is closed after this answer. */
  void closeConnectionAfterwards() {
    if (!response.headWritten()) {
      response.putHeader("Connection", "close");
    }
  }

  /** Begins an answer whose body is written in parts. */
  void begin(int status, MultiMap headers) {
    response.setStatusCode(status);
    response.headers().addAll(headers);
    markRelayed();
    if (!headers.contains(CONTENT_LENGTH)) {
      response.setChunked(true);
    }
  }

  /** Writes a part of the body; if the queue is full, returns true and calls the handler later. */
  boolean write(Buffer data, Runnable onDrained) {
    if (ended) {
      return false;
    }
    if (readAhead.isPresent()) {
      return readAhead.get().write(data, onDrained);
    }
    response.write(data);
    if (!response.writeQueueFull()) {
      return false;
    }
    response.drainHandler(unused -> onDrained.run());
    return true;
  }

  /** Ends an answer that was begun. */
  void end() {
    if (!ended) {
      ended = true;
      readAhead.ifPresentOrElse(buffer -> buffer.complete(response::end), response::end);
    }
  }

  /** Sends a complete answer. */
  void sendWhole(int status, MultiMap headers, Body body) {
    if (ended) {
      return;
    }
    ended = true;
    response.setStatusCode(status);
    response.headers().addAll(headers);
    response.headers().remove(CONTENT_LENGTH);
    markRelayed();
    List<Buffer> segments = body.segments();
    if (segments.size() <= 1) {
      response.end(segments.isEmpty() ? Buffer.buffer() : segments.get(0));
      return;
    }
    response.headers().set(CONTENT_LENGTH, Integer.toString(body.length()));
    segments.forEach(response::write);
    response.end();
  }

  private void markRelayed() {
    if (toInstance) {
      ForwardingProtocol.markRelayed(response.headers());
    }
  }

  /** Refuses the request, or aborts the answer if it was begun. */
  void refuse(Refusal refusal, String requestId) {
    if (ended) {
      return;
    }
    if (response.headWritten()) {
      abort();
      return;
    }
    ended = true;
    if (toInstance) {
      ForwardingProtocol.markRefused(response.headers(), refusal);
    }
    Problem.send(response, refusal, requestId, CallerResponse::formatSeconds);
  }

  /** Closes the connection, so that a partial answer does not look complete. */
  void abort() {
    ended = true;
    Runnable close = request.connection()::close;
    readAhead.ifPresentOrElse(buffer -> buffer.abort(close), close);
  }

  private static String formatSeconds(Duration duration) {
    return String.format(Locale.ROOT, "%.3f", duration.toMillis() / MILLIS_PER_SECOND);
  }
}
