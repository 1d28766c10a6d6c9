// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.time.Duration;
import java.util.OptionalDouble;
import java.util.function.Function;
import org.oatlug.gateway.RouteKind;

/**
 * Relays the response to one attempt to the caller: the events of a stream as they arrive, any
 * other response as a whole.
 *
 * <p>Invariant: once a response to the caller has begun, it continues only with the events that
 * follow. Used from one event loop.
 */
final class ResponseRelay {
  private static final String EVENT_STREAM_TYPE = "text/event-stream";
  private static final int OK = 200;

  private final Exchange exchange;
  private final CallerResponse callerResponse;
  private final StreamRelay relay;
  private final Function<HttpClientResponse, MultiMap> headersOf;
  private final BufferedResponse bufferedResponse;
  private final IdleTimeout idleTimeout;
  private final StreamEventInterval eventInterval = new StreamEventInterval();
  private UpstreamConnection connection;
  private HttpClientResponse response;
  private boolean streaming;

  private ResponseRelay(
      Exchange exchange,
      Function<HttpClientResponse, MultiMap> headersOf,
      IdleTimeout idleTimeout) {
    this.exchange = exchange;
    this.callerResponse = exchange.callerResponse();
    this.relay = exchange.relay();
    this.headersOf = headersOf;
    this.bufferedResponse =
        BufferedResponse.create(exchange.components(), callerResponse, headersOf);
    this.idleTimeout = idleTimeout;
  }

  /**
   * Returns a relay for an attempt of the exchange.
   *
   * @param headersOf returns the headers of a response that the caller receives
   * @param idleTimeout pauses while the caller does not read
   */
  static ResponseRelay create(
      Exchange exchange,
      Function<HttpClientResponse, MultiMap> headersOf,
      IdleTimeout idleTimeout) {
    return new ResponseRelay(exchange, headersOf, idleTimeout);
  }

  /**
   * Begins to relay a response; returns false if it cannot continue the one that the caller is
   * receiving.
   */
  boolean begin(HttpClientResponse received, UpstreamConnection receivedFrom) {
    response = received;
    connection = receivedFrom;
    String contentType = response.getHeader("Content-Type");
    streaming =
        exchange.request().route().kind() == RouteKind.STREAM
            && response.statusCode() == OK
            && contentType != null
            && contentType.startsWith(EVENT_STREAM_TYPE);
    return streaming || !callerResponse.isBegun();
  }

  boolean isStreaming() {
    return streaming;
  }

  /** Returns whether a part was forwarded that no other attempt can continue. */
  boolean isForwarded() {
    return bufferedResponse.isForwarded();
  }

  /** Relays a part of the response; returns the mean time between new events, if it is known. */
  OptionalDouble dataReceived(Buffer data) {
    if (!streaming) {
      bufferedResponse.append(response, data, this::write);
      return OptionalDouble.empty();
    }
    long countBefore = relay.eventCount();
    Buffer events = relay.newEvents(data);
    if (events.length() == 0) {
      return OptionalDouble.empty();
    }
    OptionalDouble interval =
        eventInterval.add(
            relay.eventCount() - countBefore, exchange.components().clock().instant());
    beginStream();
    write(events);
    return interval;
  }

  private void write(Buffer data) {
    if (callerResponse.write(data, this::resumeReading)) {
      eventInterval.discard();
      idleTimeout.pause();
      connection.pause();
    }
  }

  private void resumeReading() {
    idleTimeout.resume();
    connection.resume();
  }

  private void beginStream() {
    if (callerResponse.isBegun()) {
      return;
    }
    MultiMap headers = headersOf.apply(response);
    headers.remove("Content-Length");
    callerResponse.begin(response.statusCode(), headers);
    Duration elapsed = exchange.elapsed();
    exchange
        .components()
        .meters()
        .time("first-event." + exchange.request().route().name(), elapsed);
  }

  /** Returns whether the response received so far ends inside an event. */
  boolean endsInsideEvent() {
    return streaming && relay.hasPartialEvent();
  }

  /** Returns whether an event of the stream was dropped because it is too long. */
  boolean hasExceededEvent() {
    return streaming && relay.hasExceededEvent();
  }

  /** Ends the caller's response; returns the mean time between the last events, if it is known. */
  OptionalDouble finish() {
    if (!streaming) {
      bufferedResponse.writeUnread(response);
      exchange.finishServed("status " + response.statusCode());
      bufferedResponse.finish(response);
      return OptionalDouble.empty();
    }
    final OptionalDouble interval = eventInterval.end();
    beginStream();
    exchange.finishServed("stream");
    callerResponse.end();
    return interval;
  }

  /** Releases the buffered bytes and stops the idle timeout; to be called once. */
  void release() {
    bufferedResponse.release();
    idleTimeout.stop();
  }
}
