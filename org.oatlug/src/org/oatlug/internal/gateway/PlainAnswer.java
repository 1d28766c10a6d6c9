// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.util.function.Consumer;

/**
 * An upstream's answer that is no stream, on its way to the caller.
 *
 * <p>It is held until it is whole, so that another attempt can replace it if it breaks off; one
 * that takes too much to hold is handed on in pieces. Invariant: what is held counts in {@link
 * HeldBytes} until {@link #release}. Used from one event loop.
 */
final class PlainAnswer {
  /**
   * What an answer may hold before it is handed on in pieces, in bytes: many times the usual answer
   * of a service, little against the heap.
   */
  private static final int MOST_HELD = 256 * 1024;

  private final GatewayParts parts;
  private final CallerAnswer answer;
  private final Buffer body = Buffer.buffer();
  private boolean handedOn;

  private PlainAnswer(GatewayParts parts, CallerAnswer answer) {
    this.parts = parts;
    this.answer = answer;
  }

  /** Returns an answer of which nothing has come yet. */
  static PlainAnswer create(GatewayParts parts, CallerAnswer answer) {
    return new PlainAnswer(parts, answer);
  }

  /**
   * Holds a part of the answer until it is whole, or hands it on if that takes too much.
   *
   * @param writer writes to the caller what is not held
   */
  void take(HttpClientResponse response, Buffer part, Consumer<Buffer> writer) {
    boolean small = body.length() + part.length() <= MOST_HELD;
    if (!answer.isBegun() && small && parts.held().take(part.length())) {
      body.appendBuffer(part);
      return;
    }
    if (!answer.isBegun()) {
      handedOn = true;
      answer.begin(response.statusCode(), parts.adapter().upstreams().passedBack(response));
      writer.accept(body);
    }
    writer.accept(part);
  }

  /** Returns whether a part was handed on, so that no other attempt can replace the answer. */
  boolean isHandedOn() {
    return handedOn;
  }

  /** Ends the caller's answer, with all that is held if nothing of it was handed on. */
  void end(HttpClientResponse response) {
    if (answer.isBegun()) {
      answer.end();
      return;
    }
    answer.whole(response.statusCode(), parts.adapter().upstreams().passedBack(response), body);
  }

  /** Gives back the room of what is held; to be called once. */
  void release() {
    parts.held().give(body.length());
  }
}
