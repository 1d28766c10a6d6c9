// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that a request is not forwarded after its caller has disconnected.
 *
 * <p>Guards against requests that reach an upstream seconds after their caller closed the
 * connection. On a busy instance, the event loop processes everything that was ready earlier in the
 * same iteration, such as an opened connection to the upstream, before it reads the closed socket.
 */
public class CallerDisconnectedTest {
  private static final int TIMEOUT_SECONDS = 10;

  private GatewayServerFixture server;

  @BeforeMethod
  void setUp() {
    server = new GatewayServerFixture();
  }

  @AfterMethod
  void tearDown() {
    server.close();
  }

  private static Socket send(int port, String id) throws IOException {
    Socket socket = new Socket(GatewayServerFixture.HOST, port);
    String text =
        "POST "
            + SampleObjects.ONCE
            + "1 HTTP/1.1\r\nHost: "
            + GatewayServerFixture.HOST
            + "\r\nAttempt-Id: "
            + id
            + "\r\nRequest-Deadline: 5000\r\nContent-Length: 6\r\n\r\na body";
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
    return socket;
  }

  private static void await(CountDownLatch latch) {
    try {
      assertTrue(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  public void testRequestIsNotForwardedAfterItsCallerDisconnected() throws Exception {
    final UpstreamStandin upstream = server.addUpstream("only", "hall-a");
    int port = server.listen();
    CountDownLatch chosen = new CountDownLatch(1);
    CountDownLatch disconnected = new CountDownLatch(1);
    AtomicInteger choices = new AtomicInteger();
    server.onChoice(
        () -> {
          if (choices.getAndIncrement() == 0) {
            chosen.countDown();
            await(disconnected);
          }
        });
    Socket disconnecting = send(port, "request-1");
    await(chosen);
    disconnecting.close();
    disconnected.countDown();
    try (Socket connected = send(port, "request-2")) {
      assertTrue(connected.getInputStream().read() >= 0, "the connected caller gets its answer");
    }
    assertEquals(upstream.arrivals().size(), 1, "only the request of the connected caller");
  }
}
