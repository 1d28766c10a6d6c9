// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Buffers an upstream's answer that is not an event stream.
 *
 * <p>The answer is buffered until it is complete, so that another attempt can replace it if it is
 * interrupted; an answer too large to buffer is forwarded in parts. Invariant: the buffered bytes
 * count in {@link BodyMemoryBudget} until {@link #release}. Used from one event loop.
 */
final class BufferedResponse {
  /**
   * The number of bytes to buffer before an answer is forwarded in parts: many times the usual
   * answer of a service, and little compared to the heap.
   */
  private static final int MAXIMUM_BUFFERED_BYTES = 256 * 1024;

  private final CallerResponse callerResponse;
  private final Function<HttpClientResponse, MultiMap> headersOf;
  private final BodyBuffer body;
  private Body released = Body.EMPTY;
  private boolean forwarded;

  private BufferedResponse(
      GatewayComponents components,
      CallerResponse callerResponse,
      Function<HttpClientResponse, MultiMap> headersOf) {
    this.callerResponse = callerResponse;
    this.headersOf = headersOf;
    this.body = BodyBuffer.within(components.bodyMemory());
  }

  /**
   * Returns an empty buffer for an answer.
   *
   * @param headersOf returns the headers of the answer that the caller receives
   */
  static BufferedResponse create(
      GatewayComponents components,
      CallerResponse callerResponse,
      Function<HttpClientResponse, MultiMap> headersOf) {
    return new BufferedResponse(components, callerResponse, headersOf);
  }

  /**
   * Buffers a part of the answer, or forwards it if the buffered bytes would exceed their limit.
   *
   * @param writer writes the bytes to forward to the caller
   */
  void append(HttpClientResponse response, Buffer part, Consumer<Buffer> writer) {
    boolean fits = body.length() + part.length() <= MAXIMUM_BUFFERED_BYTES;
    int lengthBefore = body.length();
    if (!callerResponse.isBegun() && fits && body.tryAppend(part)) {
      return;
    }
    int appended = body.length() - lengthBefore;
    if (!callerResponse.isBegun()) {
      forwarded = true;
      callerResponse.begin(response.statusCode(), headersOf.apply(response));
      Body buffered = body.toBody();
      if (callerResponse.mayStayUnread(buffered.length())) {
        // From now on, the bytes count as read ahead.
        release();
      }
      buffered.segments().forEach(writer);
    }
    writer.accept(part.slice(appended, part.length()));
  }

  /** Returns whether a part was forwarded, so that no other attempt can replace the answer. */
  boolean isForwarded() {
    return forwarded;
  }

  /**
   * Writes a complete answer that its caller may not read soon; called before {@link #finish}, so
   * that the unread bytes are known before the answer ends.
   */
  void writeUnread(HttpClientResponse response) {
    Body buffered = buffered();
    if (!callerResponse.isBegun() && callerResponse.mayStayUnread(buffered.length())) {
      callerResponse.beginWhole(
          response.statusCode(), headersOf.apply(response), buffered.length());
      buffered.segments().forEach(segment -> callerResponse.write(segment, () -> {}));
    }
  }

  /** Ends the caller's answer, sending the buffered bytes if no part was forwarded. */
  void finish(HttpClientResponse response) {
    if (callerResponse.isBegun()) {
      callerResponse.end();
      return;
    }
    callerResponse.sendWhole(response.statusCode(), headersOf.apply(response), buffered());
  }

  private Body buffered() {
    return body.length() > 0 ? body.toBody() : released;
  }

  /** Returns the buffered bytes to the shared limit; a complete answer can still be finished. */
  void release() {
    released = buffered();
    body.release();
  }
}
