// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.util.function.Consumer;

/**
 * Buffers an upstream's answer that is not an event stream.
 *
 * <p>The answer is buffered until it is complete, so that another attempt can replace it if it
 * breaks off; an answer too large to buffer is forwarded in parts. Invariant: the buffered bytes
 * count in {@link BodyMemoryBudget} until {@link #release}. Used from one event loop.
 */
final class BufferedResponse {
  /**
   * The number of bytes to buffer before an answer is forwarded in parts: many times the usual
   * answer of a service, and little compared to the heap.
   */
  private static final int MAXIMUM_BUFFERED_BYTES = 256 * 1024;

  private final GatewayComponents parts;
  private final CallerResponse answer;
  private final Buffer body = Buffer.buffer();
  private boolean forwarded;

  private BufferedResponse(GatewayComponents parts, CallerResponse answer) {
    this.parts = parts;
    this.answer = answer;
  }

  /** Returns an empty buffer for an answer. */
  static BufferedResponse create(GatewayComponents parts, CallerResponse answer) {
    return new BufferedResponse(parts, answer);
  }

  /**
   * Buffers a part of the answer, or forwards it if the buffered bytes would exceed their limit.
   *
   * @param writer writes the bytes to forward to the caller
   */
  void append(HttpClientResponse response, Buffer part, Consumer<Buffer> writer) {
    boolean fits = body.length() + part.length() <= MAXIMUM_BUFFERED_BYTES;
    if (!answer.isBegun() && fits && parts.bodyMemory().tryReserve(part.length())) {
      body.appendBuffer(part);
      return;
    }
    if (!answer.isBegun()) {
      forwarded = true;
      answer.begin(response.statusCode(), parts.adapter().upstreams().passedBack(response));
      writer.accept(body);
    }
    writer.accept(part);
  }

  /** Returns whether a part was forwarded, so that no other attempt can replace the answer. */
  boolean isForwarded() {
    return forwarded;
  }

  /** Ends the caller's answer, sending the buffered bytes if no part was forwarded. */
  void finish(HttpClientResponse response) {
    if (answer.isBegun()) {
      answer.end();
      return;
    }
    answer.sendWhole(response.statusCode(), parts.adapter().upstreams().passedBack(response), body);
  }

  /** Returns the buffered bytes to the shared limit; to be called once. */
  void release() {
    parts.bodyMemory().releaseBytes(body.length());
  }
}
