// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Allocates free ports below the ephemeral port range of the operating system. Thread-safe.
 *
 * <p>Invariant: concurrent test runs use disjoint ports, because each run holds an exclusive file
 * lock on its range until it exits.
 */
public final class Ports {
  private static final int FIRST_PORT = 20_000;
  private static final int RANGE_COUNT = 30;
  private static final int RANGE_SIZE = 400;

  private static FileLock rangeLock;
  private static int rangeStart;
  private static int nextOffset;

  private Ports() {}

  /**
   * Returns a port on which no socket listens.
   *
   * @throws IllegalStateException if no port is free
   */
  public static synchronized int free() {
    if (rangeLock == null) {
      lockRange();
    }
    for (int attempt = 0; attempt < RANGE_SIZE; attempt++) {
      int port = rangeStart + nextOffset;
      nextOffset = (nextOffset + 1) % RANGE_SIZE;
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("0.0.0.0"))) {
        return socket.getLocalPort();
      } catch (IOException e) {
        continue;
      }
    }
    throw new IllegalStateException("no free port in the locked range");
  }

  private static void lockRange() {
    for (int range = 0; range < RANGE_COUNT; range++) {
      Path file = Path.of(System.getProperty("java.io.tmpdir"), "oatlug-ports-" + range);
      try {
        FileChannel channel =
            FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        rangeLock = channel.tryLock();
      } catch (IOException e) {
        continue;
      }
      if (rangeLock != null) {
        rangeStart = FIRST_PORT + range * RANGE_SIZE;
        return;
      }
    }
    throw new IllegalStateException("no free port range: all are locked or inaccessible");
  }
}
