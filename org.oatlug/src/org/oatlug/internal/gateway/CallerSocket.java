// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Checks the socket of a caller ahead of the event loop.
 *
 * <p>The event loop reads each socket once per iteration, and an iteration of a busy instance takes
 * seconds. Stateless; used from the event loop of the connection, and not while bytes of the same
 * connection are being dispatched.
 */
final class CallerSocket {
  private CallerSocket() {}

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
}
