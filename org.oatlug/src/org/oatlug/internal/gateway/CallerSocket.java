// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import org.oatlug.internal.limit.AcceptWindow;

/**
 * Reads, writes and resets the socket of a caller ahead of the event loop.
 *
 * <p>The event loop reads each socket once per iteration, and an iteration of a busy instance takes
 * seconds. Stateless; used from the event loop of the connection, and not while bytes of the same
 * connection are being dispatched.
 */
final class CallerSocket {
  private CallerSocket() {}

  /** Returns the place that the connection occupies; null if accepting is not limited. */
  static AcceptWindow.Permit permitOf(HttpConnection connection) {
    return ((ConnectionBase) connection).channel().attr(GatewayServer.PERMIT).get();
  }

  /**
   * Returns whether the caller has closed the connection, after reading the pending bytes of its
   * socket. Costs a system call; the handlers of the connection still run later, as usual.
   */
  static boolean isClosed(HttpConnection connection) {
    Channel channel = ((ConnectionBase) connection).channel();
    boolean readable = channel.isActive() && channel.config().isAutoRead();
    if (readable && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
      socket.read();
    }
    return !channel.isActive();
  }

  /**
   * Stops reading from the socket at once. A paused request alone would still take what is read
   * until its queue is full.
   */
  static void stopReading(HttpConnection connection) {
    ((ConnectionBase) connection).channel().config().setAutoRead(false);
  }

  /** Reads from the socket again. */
  static void continueReading(HttpConnection connection) {
    ((ConnectionBase) connection).channel().config().setAutoRead(true);
  }

  /** Returns the bytes that were written to the connection and that the socket has not taken. */
  static long unwrittenBytes(HttpConnection connection) {
    ChannelOutboundBuffer queue = ((ConnectionBase) connection).channel().unsafe().outboundBuffer();
    return queue == null ? 0 : queue.totalPendingWriteBytes() - queue.currentProgress();
  }

  /**
   * Passes waiting bytes to the socket. The event loop does so only once a third of the send buffer
   * is free, which takes long if the caller reads slowly. Costs a system call.
   */
  static void flush(HttpConnection connection) {
    if (((ConnectionBase) connection).channel().unsafe()
        instanceof AbstractNioChannel.NioUnsafe socket) {
      socket.forceFlush();
    }
  }

  /**
   * Closes the connection at once with a reset, past the pipeline: an orderly close, and any close
   * through the pipeline, waits until the caller has read what is in the write queue. It could also
   * look like the end of a response without a length.
   */
  static void reset(HttpConnection connection) {
    Channel channel = ((ConnectionBase) connection).channel();
    if (channel.isActive()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    channel.unsafe().close(channel.newPromise());
  }
}
