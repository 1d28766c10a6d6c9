// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.util.function.Consumer;

/** Takes an answer that is not streamed as a whole or not at all. Stateless, thread-safe. */
final class WholeAnswer {
  private static final String CUT_OFF = "its answer was cut off";

  private WholeAnswer() {}

  /** Takes the answer, which is paused, within {@code patienceMillis}. */
  static void take(
      Vertx vertx,
      HttpClientResponse response,
      long patienceMillis,
      Consumer<Buffer> taken,
      Consumer<String> broken) {
    long timer = vertx.setTimer(patienceMillis, unused -> response.request().reset());
    response
        .body()
        .onComplete(unused -> vertx.cancelTimer(timer))
        .onComplete(taken::accept, failure -> broken.accept(CUT_OFF));
    response.resume();
  }
}
