// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.internal.buffer.BufferInternal;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * The whole body of a request or response, in segments. Each attempt of a request sends the same
 * one. Immutable; the segments must not be modified.
 *
 * @param segments the segments in order, none for an empty body
 * @param length the length of all segments in bytes
 */
record Body(List<Buffer> segments, int length) {
  /** A body without any byte. */
  static final Body EMPTY = new Body(List.of(), 0);

  /** Returns a body of these segments. */
  static Body of(List<Buffer> segments, int length) {
    return new Body(List.copyOf(segments), length);
  }

  /** Returns the segments for reading. */
  List<ByteBuffer> byteBuffers() {
    return segments.stream()
        .map(segment -> ((BufferInternal) segment).getByteBuf().nioBuffer())
        .toList();
  }

  /**
   * Sends the body with its length and ends the request. Segments are written as the connection
   * takes them, since what is in its write queue is a copy.
   *
   * @param isCancelled whether the request was cancelled, so that nothing more is to be written
   */
  void sendWith(HttpClientRequest request, BooleanSupplier isCancelled) {
    if (segments.size() <= 1) {
      request.end(segments.isEmpty() ? Buffer.buffer() : segments.get(0));
      return;
    }
    request.putHeader("Content-Length", Integer.toString(length));
    write(request, 0, isCancelled);
  }

  private void write(HttpClientRequest request, int first, BooleanSupplier isCancelled) {
    for (int index = first; index < segments.size() - 1; index++) {
      if (isCancelled.getAsBoolean()) {
        return;
      }
      Future<Void> written = request.write(segments.get(index));
      if (request.writeQueueFull()) {
        int next = index + 1;
        // A failed write fails the request, whose exception handler is called.
        written.onSuccess(unused -> write(request, next, isCancelled));
        return;
      }
    }
    if (!isCancelled.getAsBoolean()) {
      request.end(segments.get(segments.size() - 1));
    }
  }
}
