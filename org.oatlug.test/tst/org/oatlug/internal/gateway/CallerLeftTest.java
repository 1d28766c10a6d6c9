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
 * A request whose caller leaves while the instance is too busy to notice.
 *
 * <p>Symptom: requests reached upstreams seconds after their callers had closed the connection, 52
 * of 2,300 after the loss of power of all instances. Sequence: an instance with a small share of a
 * core reads a request and works through many others; meanwhile the caller gives up and closes; the
 * connection to the upstream opens and the request is written; only then is the caller's socket
 * looked at again. Cause: a close is seen when the event loop comes to that socket, and what was
 * ready earlier in the same round is done first. Settled by three lines of one request: sent by its
 * caller at 47.779 s, given up at 48.779 s, at the upstream at 51.408 s.
 */
public class CallerLeftTest {
  private static final int PATIENCE_SECONDS = 10;

  private HeldUpFront front;

  @BeforeMethod
  void begin() {
    front = new HeldUpFront();
  }

  @AfterMethod
  void end() {
    front.close();
  }

  private static Socket send(int port, String id) throws IOException {
    Socket socket = new Socket(HeldUpFront.HOST, port);
    String text =
        "POST "
            + SampleObjects.ONCE
            + "1 HTTP/1.1\r\nHost: "
            + HeldUpFront.HOST
            + "\r\nAttempt-Id: "
            + id
            + "\r\nRequest-Deadline: 5000\r\nContent-Length: 6\r\n\r\na body";
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
    return socket;
  }

  private static void await(CountDownLatch latch) {
    try {
      assertTrue(latch.await(PATIENCE_SECONDS, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  public void testRequestIsNotSentOnAfterItsCallerLeft() throws Exception {
    final UpstreamStandin upstream = front.addUpstream("only", "hall-a");
    int port = front.listen();
    CountDownLatch chosen = new CountDownLatch(1);
    CountDownLatch left = new CountDownLatch(1);
    AtomicInteger choices = new AtomicInteger();
    front.afterChoice(
        () -> {
          if (choices.getAndIncrement() == 0) {
            chosen.countDown();
            await(left);
          }
        });
    Socket leaving = send(port, "request-1");
    await(chosen);
    leaving.close();
    left.countDown();
    try (Socket staying = send(port, "request-2")) {
      assertTrue(staying.getInputStream().read() >= 0, "the other caller gets its answer");
    }
    assertEquals(upstream.arrivals().size(), 1, "only the request of the caller that stays");
  }
}
