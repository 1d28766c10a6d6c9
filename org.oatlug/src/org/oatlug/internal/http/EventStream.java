// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.oatlug.internal.util.Json;

/**
 * Passes the server-sent events of an answer on to the caller.
 *
 * <p>Invariants: events are passed on whole, in order, as they came; the closing event is held back
 * until the answer was accounted for; a stream that ends without the closing event is reported as
 * broken. A slow caller pauses the upstream, so that no more than one buffer waits here. Used from
 * one event loop.
 */
final class EventStream {
  private static final String DELIMITER = "\n\n";
  private static final String DATA = "data:";
  private static final String DONE = "[DONE]";
  private static final int MAXIMUM_EVENT = 1024 * 1024;
  private static final int MAXIMUM_TEXT = 16 * 1024;

  private final Vertx vertx;
  private final HttpClientResponse source;
  private final HttpServerResponse target;
  private final Listener listener;
  private final StringBuilder text = new StringBuilder();
  private RecordParser events;
  private int tokens;
  private boolean activity;
  private boolean ended;
  private long timer;

  EventStream(
      Vertx vertx, HttpClientResponse source, HttpServerResponse target, Listener listener) {
    this.vertx = vertx;
    this.source = source;
    this.target = target;
    this.listener = listener;
  }

  /** Takes reports of the stream. */
  interface Listener {
    /**
     * Every event but the closing one was passed on; the closing one follows after {@code next}.
     */
    void complete(Runnable next);

    /** The stream broke off. */
    void broken(String problem);

    /** Another event was passed on. */
    void progressed();
  }

  /**
   * Starts to pass events on; the upstream may pause at most {@code patienceMillis} between two.
   */
  void start(long patienceMillis) {
    events = RecordParser.newDelimited(DELIMITER, source);
    events.maxRecordSize(MAXIMUM_EVENT);
    events.exceptionHandler(failure -> fail(String.valueOf(failure.getMessage())));
    events.endHandler(unused -> fail("it ended without its closing event"));
    target.drainHandler(unused -> resume());
    timer = vertx.setPeriodic(patienceMillis, unused -> checkActivity());
    events.handler(this::received);
    source.resume();
  }

  /** Returns the number of tokens that were passed on. */
  int tokens() {
    return tokens;
  }

  /** Returns the start of the answer's text. */
  String text() {
    return text.toString();
  }

  private void received(Buffer event) {
    if (ended) {
      return;
    }
    activity = true;
    String line = event.toString(StandardCharsets.UTF_8);
    String data = line.startsWith(DATA) ? line.substring(DATA.length()).trim() : "";
    if (data.equals(DONE)) {
      stop();
      Buffer closing = event.copy().appendString(DELIMITER);
      listener.complete(() -> target.end(closing));
      return;
    }
    count(data);
    target.write(event.copy().appendString(DELIMITER));
    listener.progressed();
    if (target.writeQueueFull()) {
      events.pause();
    }
  }

  private void resume() {
    activity = true;
    if (!ended) {
      events.resume();
    }
  }

  private void count(String data) {
    String content = contentOf(data);
    if (content.isEmpty()) {
      return;
    }
    tokens++;
    if (text.length() < MAXIMUM_TEXT) {
      text.append(content);
    }
  }

  private static String contentOf(String data) {
    try {
      JsonNode node = Json.STRICT.readTree(data);
      return node.path("choices").path(0).path("delta").path("content").asText("");
    } catch (IOException e) {
      return "";
    }
  }

  private void checkActivity() {
    if (!activity && !target.writeQueueFull()) {
      fail("it stood still");
      source.request().reset();
    }
    activity = false;
  }

  private void fail(String problem) {
    if (!ended) {
      stop();
      listener.broken(problem);
    }
  }

  private void stop() {
    ended = true;
    vertx.cancelTimer(timer);
  }
}
