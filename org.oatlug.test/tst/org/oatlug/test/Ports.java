// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds free ports below the range from which the system takes ports of its own. */
final class Ports {
  private static final int FIRST = 20_000;
  private static final int LAST = 32_000;

  private static int next = FIRST + (int) (ProcessHandle.current().pid() % 24) * 500;

  private Ports() {}

  static synchronized int free() {
    for (int tries = 0; tries < LAST - FIRST; tries++) {
      int port = next;
      next = next + 1 > LAST ? FIRST : next + 1;
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("0.0.0.0"))) {
        return socket.getLocalPort();
      } catch (IOException e) {
        continue;
      }
    }
    throw new IllegalStateException("no free port");
  }
}
