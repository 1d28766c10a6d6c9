// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Locale;
import org.oatlug.api.Refusal;
import org.oatlug.internal.http.Problem;

/**
 * Writes the one answer that a caller gets.
 *
 * <p>Invariants: nothing is written after the end; an answer that was begun and cannot be ended
 * whole is cut by closing the connection, so that it never looks whole. Used from one event loop.
 */
final class CallerAnswer {
  private static final String CONTENT_LENGTH = "Content-Length";
  private static final double MILLIS_PER_SECOND = 1000;

  private final HttpServerRequest request;
  private final HttpServerResponse response;
  private boolean ended;

  CallerAnswer(HttpServerRequest request) {
    this.request = request;
    this.response = request.response();
  }

  /** Calls the handler when the caller goes away before the answer ends. */
  void onGone(Runnable handler) {
    response.exceptionHandler(failure -> gone(handler));
    response.closeHandler(unused -> gone(handler));
  }

  private void gone(Runnable handler) {
    if (!ended) {
      ended = true;
      handler.run();
    }
  }

  /** Looks whether the caller went away, also if that was not reported yet. */
  boolean isCallerGone() {
    return ended || CallerSocket.isClosed(request.connection());
  }

  boolean isBegun() {
    return response.headWritten();
  }

  boolean isEnded() {
    return ended;
  }

  /** Says that the connection ends with this answer. */
  void closeAfterwards() {
    if (!response.headWritten()) {
      response.putHeader("Connection", "close");
    }
  }

  /** Begins an answer whose body follows in pieces. */
  void begin(int status, MultiMap headers) {
    response.setStatusCode(status);
    response.headers().addAll(headers);
    if (!headers.contains(CONTENT_LENGTH)) {
      response.setChunked(true);
    }
  }

  /** Writes a piece of the body; returns whether the caller reads too slowly for more. */
  boolean write(Buffer data, Runnable whenDrained) {
    if (ended) {
      return false;
    }
    response.write(data);
    if (!response.writeQueueFull()) {
      return false;
    }
    response.drainHandler(unused -> whenDrained.run());
    return true;
  }

  /** Ends an answer that was begun. */
  void end() {
    if (!ended) {
      ended = true;
      response.end();
    }
  }

  /** Gives a whole answer. */
  void whole(int status, MultiMap headers, Buffer body) {
    if (ended) {
      return;
    }
    ended = true;
    response.setStatusCode(status);
    response.headers().addAll(headers);
    response.headers().remove(CONTENT_LENGTH);
    response.end(body);
  }

  /** Refuses the request, or cuts the answer if it was begun. */
  void refuse(Refusal refusal, String requestId) {
    if (ended) {
      return;
    }
    if (response.headWritten()) {
      cut();
      return;
    }
    ended = true;
    Problem.send(response, refusal, requestId, CallerAnswer::seconds);
  }

  /** Closes the connection, so that what was written does not look whole. */
  void cut() {
    ended = true;
    request.connection().close();
  }

  private static String seconds(Duration wait) {
    return String.format(Locale.ROOT, "%.2f", wait.toMillis() / MILLIS_PER_SECOND);
  }
}
