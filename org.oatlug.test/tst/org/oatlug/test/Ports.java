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
 * Finds free ports below the range from which the system takes ports of its own.
 *
 * <p>Invariant: runs of the tests at the same time use different ports, because each holds the lock
 * of a range for as long as it runs.
 */
public final class Ports {
  private static final int FIRST = 20_000;
  private static final int RANGES = 30;
  private static final int RANGE_SIZE = 400;

  private static FileLock lock;
  private static int rangeStart;
  private static int next;

  private Ports() {}

  /** Returns a port that nothing listens on. */
  public static synchronized int free() {
    if (lock == null) {
      lockRange();
    }
    for (int tries = 0; tries < RANGE_SIZE; tries++) {
      int port = rangeStart + next;
      next = (next + 1) % RANGE_SIZE;
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("0.0.0.0"))) {
        return socket.getLocalPort();
      } catch (IOException e) {
        continue;
      }
    }
    throw new IllegalStateException("no free port");
  }

  private static void lockRange() {
    for (int range = 0; range < RANGES; range++) {
      Path file = Path.of(System.getProperty("java.io.tmpdir"), "oatlug-ports-" + range);
      try {
        FileChannel channel =
            FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        lock = channel.tryLock();
      } catch (IOException e) {
        continue;
      }
      if (lock != null) {
        rangeStart = FIRST + range * RANGE_SIZE;
        return;
      }
    }
    throw new IllegalStateException("no free range of ports");
  }
}
