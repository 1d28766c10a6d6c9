// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.util.function.Consumer;

/**
 * Reads a non-streamed response completely or not at all: of a response that is interrupted nothing
 * is passed on. Stateless, thread-safe.
 */
final class WholeResponse {
  private static final String TRUNCATED = "its answer was cut off";

  private WholeResponse() {}

  /**
   * Reads the paused response; resets the request if the body is not complete after {@code
   * timeoutMillis}.
   */
  static void receive(
      Vertx vertx,
      HttpClientResponse response,
      long timeoutMillis,
      Consumer<Buffer> onBody,
      Consumer<String> onInterrupted) {
    long timer = vertx.setTimer(timeoutMillis, unused -> response.request().reset());
    response
        .body()
        .onComplete(unused -> vertx.cancelTimer(timer))
        .onComplete(onBody::accept, failure -> onInterrupted.accept(TRUNCATED));
    response.resume();
  }
}
