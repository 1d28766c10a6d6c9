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
 * Forwards the server-sent events of a response to the caller.
 *
 * <p>Invariants: events are forwarded whole, unchanged and in order; the closing event is delayed
 * until the bill is settled; a stream that ends without the closing event is reported as
 * interrupted. A slow caller pauses the upstream, so that at most one buffer is queued here. Used
 * from one event loop.
 */
final class EventStream {
  private static final String DELIMITER = "\n\n";
  private static final String DATA = "data:";
  private static final String DONE = "[DONE]";
  private static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;
  private static final int MAXIMUM_TEXT_CHARACTERS = 16 * 1024;

  private final Vertx vertx;
  private final HttpClientResponse source;
  private final HttpServerResponse target;
  private final Listener listener;
  private final StringBuilder text = new StringBuilder();
  private RecordParser events;
  private int tokens;
  private boolean active;
  private boolean ended;
  private long timer;

  EventStream(
      Vertx vertx, HttpClientResponse source, HttpServerResponse target, Listener listener) {
    this.vertx = vertx;
    this.source = source;
    this.target = target;
    this.listener = listener;
  }

  /** Receives the progress and the end of the stream. */
  interface Listener {
    /**
     * All events but the closing one were forwarded; {@code sendClosingEvent} sends the closing
     * one.
     */
    void complete(Runnable sendClosingEvent);

    /** The stream was interrupted. */
    void interrupted(String problem);

    /** An event was forwarded. */
    void progressed();
  }

  /**
   * Starts forwarding.
   *
   * <p>Activity is checked every {@code idleTimeoutMillis}; the stream fails if no event arrived
   * since the previous check, unless a slow caller pauses the upstream.
   */
  void start(long idleTimeoutMillis) {
    events = RecordParser.newDelimited(DELIMITER, source);
    events.maxRecordSize(MAXIMUM_EVENT_BYTES);
    events.exceptionHandler(failure -> fail(String.valueOf(failure.getMessage())));
    events.endHandler(unused -> fail("it ended without its closing event"));
    target.drainHandler(unused -> resume());
    timer = vertx.setPeriodic(idleTimeoutMillis, unused -> checkActivity());
    events.handler(this::handleEvent);
    source.resume();
  }

  /** Returns the number of forwarded tokens; each event with content counts as one token. */
  int tokens() {
    return tokens;
  }

  /** Returns the start of the generated text. */
  String text() {
    return text.toString();
  }

  private void handleEvent(Buffer event) {
    if (ended) {
      return;
    }
    active = true;
    String eventText = event.toString(StandardCharsets.UTF_8);
    String data = eventText.startsWith(DATA) ? eventText.substring(DATA.length()).trim() : "";
    if (data.equals(DONE)) {
      stop();
      Buffer closingEvent = event.copy().appendString(DELIMITER);
      listener.complete(() -> target.end(closingEvent));
      return;
    }
    countToken(data);
    target.write(event.copy().appendString(DELIMITER));
    listener.progressed();
    if (target.writeQueueFull()) {
      events.pause();
    }
  }

  private void resume() {
    active = true;
    if (!ended) {
      events.resume();
    }
  }

  private void countToken(String data) {
    String content = contentOf(data);
    if (content.isEmpty()) {
      return;
    }
    tokens++;
    if (text.length() < MAXIMUM_TEXT_CHARACTERS) {
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
    if (!active && !target.writeQueueFull()) {
      fail("it stood still");
      source.request().reset();
    }
    active = false;
  }

  private void fail(String problem) {
    if (!ended) {
      stop();
      listener.interrupted(problem);
    }
  }

  private void stop() {
    ended = true;
    vertx.cancelTimer(timer);
  }
}
