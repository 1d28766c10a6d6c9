// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.function.Function;
import org.oatlug.api.Refusal;
import org.oatlug.internal.util.Json;

/** Writes refusals as {@code application/problem+json}. Stateless, thread-safe. */
public final class Problem {
  private static final String TYPE = "application/problem+json";
  private static final String TYPE_PREFIX = "urn:oatlug:refusal:";

  private Problem() {}

  /** Ends the response with the refusal, if it is neither ended nor closed. */
  static void send(HttpServerResponse response, Refusal refusal, String requestId) {
    send(response, refusal, requestId, wait -> Long.toString(seconds(wait)));
  }

  /**
   * Ends the response with the refusal, if it is neither ended nor closed.
   *
   * @param retryAfterText formats the value of {@code Retry-After}
   */
  public static void send(
      HttpServerResponse response,
      Refusal refusal,
      String requestId,
      Function<Duration, String> retryAfterText) {
    if (response.ended() || response.closed()) {
      return;
    }
    response.setStatusCode(refusal.reason().status());
    response.putHeader("Content-Type", TYPE);
    response.putHeader(Headers.REQUEST_ID, requestId);
    refusal
        .retryAfter()
        .ifPresent(wait -> response.putHeader("Retry-After", retryAfterText.apply(wait)));
    response.end(Buffer.buffer(body(refusal, requestId).toString()));
  }

  /** Returns the refusal as an error event that ends a stream. */
  static Buffer event(Refusal refusal, String requestId) {
    return Buffer.buffer("event: error\ndata: " + body(refusal, requestId) + "\n\n");
  }

  private static ObjectNode body(Refusal refusal, String requestId) {
    ObjectNode node = Json.STRICT.createObjectNode();
    node.put("type", TYPE_PREFIX + refusal.reason().text());
    node.put("title", refusal.detail());
    node.put("status", refusal.reason().status());
    node.put("reason", refusal.reason().text());
    node.put("notRun", refusal.notRun().text());
    node.put("requestId", requestId);
    refusal.retryAfter().ifPresent(wait -> node.put("retryAfterSeconds", seconds(wait)));
    return node;
  }

  private static long seconds(Duration wait) {
    return Math.max(1, wait.plusMillis(999).toSeconds());
  }
}
