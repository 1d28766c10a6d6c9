// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.oatlug.adapter.standin.SampleObjects;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests an instance whose link is full while its upstreams are healthy.
 *
 * <p>Guards against an instance that takes slow connects over its own full link for the loss of its
 * upstreams: it refused thousands of requests while responses of the same upstreams arrived.
 */
public class NarrowLinkTest {
  private static final int EVENTS = 400;
  private static final long PAUSE_MILLIS = 25;
  private static final int TIMEOUT_MILLIS = 20_000;

  /** Too many to have crashed together while others respond. */
  private static final int UPSTREAMS = 6;

  /** Two upstreams with two timeouts of 400 ms each, and as much again. */
  private static final Duration FULL_TIME = Duration.ofSeconds(3);

  private NarrowLinkTransport link;
  private GatewayServerFixture server;
  private int port;
  private final List<Socket> callers = new ArrayList<>();

  @BeforeMethod
  void setUp() throws Exception {
    link = new NarrowLinkTransport(200_000);
    server = GatewayServerFixture.withTransport(link);
    for (int number = 1; number <= UPSTREAMS; number++) {
      server.addPacedUpstream("i-" + number, EVENTS, PAUSE_MILLIS);
    }
    port = server.listen();
  }

  @AfterMethod(alwaysRun = true)
  void tearDown() throws IOException {
    link.heal();
    for (Socket caller : callers) {
      caller.close();
    }
    callers.clear();
    server.close();
  }

  private Socket send(String deadlineMillis) throws IOException {
    Socket socket = new Socket(GatewayServerFixture.HOST, port);
    callers.add(socket);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    String text =
        "POST %s1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: narrow-%d\r\n"
                .formatted(SampleObjects.STREAM, GatewayServerFixture.HOST, callers.size())
            + "Request-Deadline: "
            + deadlineMillis
            + "\r\nContent-Length: 6\r\n\r\na body";
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  /** Returns the next bytes of a response. */
  private static String read(Socket socket, int length) throws IOException {
    return new String(socket.getInputStream().readNBytes(length), StandardCharsets.US_ASCII);
  }

  private void sendWhile(Duration time) throws Exception {
    long endNanos = System.nanoTime() + time.toNanos();
    while (System.nanoTime() < endNanos) {
      send("5000");
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  @Test
  public void testServiceThatRespondsIsNotUnreachableWhileConnectsTimeOut() throws Exception {
    Socket stream = send("15000");
    assertEquals(read(stream, 12), "HTTP/1.1 200");
    link.occupy(FULL_TIME);
    sendWhile(FULL_TIME.minusMillis(500));
    assertTrue(stream.getInputStream().available() > 0, "the open stream goes on");
    assertEquals(server.count("path.lost"), 0);
    assertEquals(server.count("refused.upstreams-unreachable"), 0);
    TimeUnit.NANOSECONDS.sleep(link.delay().toNanos());
    for (int number = 1; number <= UPSTREAMS; number++) {
      assertFalse(server.infersFailureOf("i-" + number), "i-" + number + " is healthy");
    }
  }

  @Test
  public void testLostServiceIsFoundAsSoonAsTwoConnectsTimeOut() throws Exception {
    Socket stream = send("15000");
    assertEquals(read(stream, 12), "HTTP/1.1 200");
    link.partition();
    send("5000");
    long lostAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(5000);
    while (server.count("path.lost") == 0 && System.nanoTime() < lostAtNanos) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    assertEquals(server.count("path.lost"), 1);
  }
}
