// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Accepts connections of callers while the process starts.
 *
 * <p>A server socket with a short backlog would refuse the connections of a start that takes a
 * second. Invariant: nothing is read from a connection, and after {@link #stop} none is accepted
 * here. Thread-safe; runs a thread of its own until then.
 */
final class EarlyConnections {
  /** The maximum number of connections: those of some seconds at the busiest instance. */
  private static final int MAXIMUM = 1024;

  private final Selector selector;
  private final ConcurrentLinkedQueue<SocketChannel> connections = new ConcurrentLinkedQueue<>();
  private final Thread thread;
  private volatile boolean stopped;

  private EarlyConnections(ServerSocketChannel channel, Selector selector) {
    this.selector = selector;
    this.thread = new Thread(() -> acceptUntilStopped(channel), "early-connections");
    this.thread.setDaemon(true);
  }

  /** Begins to accept connections of the channel, which becomes non-blocking. */
  static EarlyConnections accept(ServerSocketChannel channel) throws IOException {
    channel.configureBlocking(false);
    Selector selector = Selector.open();
    channel.register(selector, SelectionKey.OP_ACCEPT);
    EarlyConnections early = new EarlyConnections(channel, selector);
    early.thread.start();
    return early;
  }

  private void acceptUntilStopped(ServerSocketChannel channel) {
    int accepted = 0;
    try {
      while (!stopped && accepted < MAXIMUM) {
        selector.select();
        selector.selectedKeys().clear();
        SocketChannel connection = stopped ? null : channel.accept();
        if (connection != null) {
          connections.add(connection);
          accepted++;
        }
      }
    } catch (IOException e) {
      Log.logger.atWarning().log("accepting during the start ended: %s", e.getMessage());
    }
  }

  /** Stops accepting; returns the connections that were accepted, the oldest first. */
  List<SocketChannel> stop() {
    stopped = true;
    selector.wakeup();
    try {
      thread.join();
      selector.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      Log.logger.atWarning().log("closing the selector of the start failed: %s", e.getMessage());
    }
    return new ArrayList<>(connections);
  }

  /** Initializes logging on first use, because that takes longer than opening the socket. */
  private static final class Log {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  }
}
