// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerResponse;
import org.oatlug.internal.limit.ReadAheadBudget;

/**
 * Buffers the part of one response that its caller has not read yet.
 *
 * <p>At most one part is in the write queue of the connection; everything that arrives before it
 * was passed to the socket is joined into the next part. So all bytes outside the socket are
 * counted here, and many small events do not cost a queue entry each. Invariant: the bytes that are
 * not passed to the socket count in {@link ReadAheadBuffers} until they are, or until {@link
 * #close}. Used from one event loop.
 */
final class ReadAheadBuffer {
  private static final Runnable NOTHING = () -> {};

  private final ReadAheadBuffers buffers;
  private final ReadAheadBudget.Terms terms;
  private final String requestId;
  private final HttpConnection connection;
  private final HttpServerResponse response;
  private final Runnable onEvict;
  private Buffer waiting = Buffer.buffer();
  private long bytesInQueue;

  /** The bytes in the outbound queue of the socket when they were last compared. */
  private long unwrittenBytes;

  private boolean paused;
  private boolean closed;
  private Runnable onResume = NOTHING;
  private Runnable whenRead = NOTHING;

  /**
   * Creates an empty buffer.
   *
   * @param onEvict closes the connection after this buffer was selected to be evicted
   */
  ReadAheadBuffer(
      ReadAheadBuffers buffers,
      AdmittedRequest request,
      HttpConnection connection,
      HttpServerResponse response,
      ReadAheadBudget.Terms terms,
      Runnable onEvict) {
    this.buffers = buffers;
    this.terms = terms;
    this.requestId = request.head().id();
    this.connection = connection;
    this.response = response;
    this.onEvict = onEvict;
  }

  ReadAheadBudget.Terms terms() {
    return terms;
  }

  String requestId() {
    return requestId;
  }

  /** Returns the number of bytes that wait for the caller. */
  long heldBytes() {
    return buffers.heldBytes(this);
  }

  /**
   * Writes a part of the body; returns true if the upstream must pause until the handler is called.
   */
  boolean write(Buffer data, Runnable onMayContinue) {
    if (closed || data.length() == 0) {
      return paused;
    }
    if (bytesInQueue > 0) {
      waiting.appendBuffer(data);
      buffers.hold(this, data.length());
    } else {
      Future<Void> written = response.write(data);
      if (written.isComplete()) {
        closeIfFailed(written);
        return paused;
      }
      bytesInQueue = data.length();
      buffers.hold(this, data.length());
      awaitWritten(written);
    }
    // All of this write is counted by now: room may be made by evicting this response as well.
    onResume = onMayContinue;
    buffers.makeRoom();
    if (!paused && !closed && buffers.mustPause(this)) {
      paused = true;
      buffers.upstreamPaused();
    }
    return paused;
  }

  private void awaitWritten(Future<Void> written) {
    unwrittenBytes = CallerSocket.unwrittenBytes(connection);
    written.onComplete(unused -> partWritten(written));
  }

  private void partWritten(Future<Void> written) {
    closeIfFailed(written);
    if (closed) {
      return;
    }
    buffers.release(this, bytesInQueue);
    bytesInQueue = waiting.length();
    if (bytesInQueue > 0) {
      Buffer next = waiting;
      waiting = Buffer.buffer();
      awaitWritten(response.write(next));
    } else {
      runWhenRead();
    }
    resumeIfPossible();
  }

  private void closeIfFailed(Future<Void> written) {
    if (written.failed()) {
      // The caller closed the connection, which the handler of the connection reports and logs.
      close();
    }
  }

  /** Lets the upstream continue if the limits allow it. */
  void resumeIfPossible() {
    if (paused && !closed && buffers.mayContinue(this)) {
      paused = false;
      onResume.run();
    }
  }

  /** Compares what the socket has taken with the last time, so that slow reading is noticed. */
  void checkProgress() {
    if (closed || bytesInQueue == 0) {
      return;
    }
    long inQueueBefore = bytesInQueue;
    CallerSocket.flush(connection);
    if (closed || bytesInQueue != inQueueBefore) {
      return;
    }
    long unwritten = CallerSocket.unwrittenBytes(connection);
    if (unwritten < unwrittenBytes) {
      unwrittenBytes = unwritten;
      buffers.recordReading(this);
    }
  }

  /** Ends the response with the action once the caller has read it. */
  void complete(Runnable end) {
    buffers.markComplete(this);
    finish(end);
  }

  /**
   * Runs the action, which closes the connection of an incomplete response, once the caller has
   * read what waits for it; at once if it is stalled.
   */
  void abort(Runnable closeConnection) {
    if (buffers.isStalled(this)) {
      onEvict.run();
    } else {
      finish(closeConnection);
    }
  }

  private void finish(Runnable action) {
    whenRead = action;
    if (bytesInQueue == 0) {
      runWhenRead();
    }
  }

  private void runWhenRead() {
    Runnable action = whenRead;
    whenRead = NOTHING;
    action.run();
  }

  /** Closes the connection to free the memory. */
  void evict() {
    onEvict.run();
  }

  /** Drops the bytes because the connection is closed. */
  void close() {
    if (!closed) {
      closed = true;
      waiting = Buffer.buffer();
      buffers.drop(this);
    }
  }
}
