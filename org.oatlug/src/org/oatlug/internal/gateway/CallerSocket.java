// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Looks at the socket of a caller out of turn.
 *
 * <p>The event loop comes to each socket once a round, and a round of a busy instance takes
 * seconds. Stateless; used from the event loop of the connection, and not while bytes of the same
 * connection are being handed on.
 */
final class CallerSocket {
  private CallerSocket() {}

  /**
   * Returns whether the caller has closed the connection, reading what waits in its socket. Costs a
   * system call; the handlers of the connection run as usual, later.
   */
  static boolean isClosed(HttpConnection connection) {
    Channel channel = ((ConnectionBase) connection).channel();
    boolean reads = channel.isActive() && channel.config().isAutoRead();
    if (reads && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
      socket.read();
    }
    return !channel.isActive();
  }
}
