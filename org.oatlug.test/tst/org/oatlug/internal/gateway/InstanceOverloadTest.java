// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests a server whose event loop is blocked while its upstreams are healthy.
 *
 * <p>Guards against an instance that reads requests that it cannot serve in time, and against one
 * that takes its own lag for the failure of its upstreams, which refused thousands of requests.
 */
public class InstanceOverloadTest {
  private static final int TIMEOUT_SECONDS = 20;
  private static final int MAXIMUM_ROUNDS = 20;
  private static final int CONNECTIONS_PER_ROUND = 5;
  private static final String OK = "HTTP/1.1 200";

  private GatewayServerFixture server;
  private final AtomicInteger requestCount = new AtomicInteger();

  @BeforeMethod
  void setUp() {
    server = new GatewayServerFixture();
  }

  @AfterMethod
  void tearDown() {
    server.close();
  }

  private void send(Socket socket) throws IOException {
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
    String text =
        "POST "
            + SampleObjects.ONCE
            + "1 HTTP/1.1\r\nHost: "
            + GatewayServerFixture.HOST
            + "\r\nAttempt-Id: overload-"
            + requestCount.incrementAndGet()
            + "\r\nRequest-Deadline: 9000\r\nContent-Length: 6\r\n\r\na body";
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
  }

  /** Returns the beginning of the response, empty if the connection was closed instead. */
  private static String read(Socket socket) throws IOException {
    try {
      byte[] bytes = socket.getInputStream().readNBytes(OK.length());
      socket.getInputStream().skipNBytes(socket.getInputStream().available());
      return new String(bytes, StandardCharsets.US_ASCII);
    } catch (SocketException e) {
      return "";
    }
  }

  private String request(int port) throws IOException {
    try (Socket socket = new Socket(GatewayServerFixture.HOST, port)) {
      send(socket);
      return read(socket);
    } catch (SocketException e) {
      return "";
    }
  }

  @Test
  public void testOverloadedServerRefusesConnectionsUnreadAndServesOpenOnes() throws Exception {
    final UpstreamStandin upstream = server.addUpstream("only", "hall-a");
    int port = server.listen();
    Semaphore blocked = new Semaphore(0);
    Semaphore released = new Semaphore(0);
    AtomicBoolean blocks = new AtomicBoolean();
    server.onChoice(
        () -> {
          if (blocks.compareAndSet(true, false)) {
            blocked.release();
            released.acquireUninterruptibly();
          }
        });
    int served = 0;
    int refused = 0;
    try (Socket open = new Socket(GatewayServerFixture.HOST, port)) {
      // Connections that are accepted only after the server has recovered are not refused.
      for (int round = 0; round < MAXIMUM_ROUNDS && refused == 0; round++) {
        blocks.set(true);
        send(open);
        assertTrue(blocked.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        List<Socket> sockets = new ArrayList<>();
        for (int index = 0; index < CONNECTIONS_PER_ROUND; index++) {
          Socket socket = new Socket(GatewayServerFixture.HOST, port);
          sockets.add(socket);
          send(socket);
        }
        server.suspend(Duration.ofSeconds(1));
        Thread.sleep(100);
        released.release();
        for (Socket socket : sockets) {
          String response = read(socket);
          served += response.equals(OK) ? 1 : 0;
          refused += response.isEmpty() ? 1 : 0;
          socket.close();
        }
        assertEquals(read(open), OK, "a request on an open connection");
        served++;
      }
    }
    assertTrue(refused > 0, "refused " + refused);
    assertEquals(server.count("connections.refused"), refused);
    assertTrue(server.count("connections.admitted-overloaded") > 0, "one every 250 ms");
    assertEquals(upstream.arrivals().size(), served, "only the requests of served callers");
    assertFalse(server.infersFailureOf("only"));
    String response = "";
    for (int attempt = 0; attempt < MAXIMUM_ROUNDS && response.isEmpty(); attempt++) {
      Thread.sleep(50);
      response = request(port);
    }
    assertEquals(response, OK, "the server recovers");
  }

  @Test
  public void testConnectTimeoutDuringLagIsNotTakenForUnreachableUpstream() throws Exception {
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      List<Socket> fillers = new ArrayList<>();
      for (int index = 0; index < 2; index++) {
        fillers.add(new Socket(full.getInetAddress(), full.getLocalPort()));
      }
      server.addAddress("silent", full.getLocalPort());
      int port = server.listen();
      AtomicBoolean lags = new AtomicBoolean(true);
      // A clock of double speed shows each timer late by as much as it waited.
      Thread lag =
          new Thread(
              () -> {
                while (lags.get()) {
                  sleep(10);
                  server.suspend(Duration.ofMillis(10));
                }
              });
      lag.start();
      request(port);
      lags.set(false);
      lag.join();
      assertTrue(server.count("timeout.own-delay") > 0);
      assertFalse(server.infersFailureOf("silent"));
      request(port);
      assertTrue(server.infersFailureOf("silent"), "without lag the timeout is evidence");
      for (Socket filler : fillers) {
        filler.close();
      }
    }
  }

  /**
   * Runs an idle timeout while the clock is faster than timers by a factor; returns its outcome.
   */
  private boolean idleTimeoutIsEvidence(int clockFactor) throws Exception {
    Duration timeout = Duration.ofMillis(200);
    CompletableFuture<Boolean> outcome = new CompletableFuture<>();
    server
        .components()
        .vertx()
        .runOnContext(
            unused ->
                IdleTimeout.create(server.components(), () -> timeout, outcome::complete).start());
    while (!outcome.isDone()) {
      Thread.sleep(5);
      server.suspend(Duration.ofMillis(5L * (clockFactor - 1)));
    }
    return outcome.get();
  }

  @Test
  public void testIdleTimeoutIsExtendedOnceAndNoEvidenceDuringLag() throws Exception {
    server.listen();
    assertTrue(idleTimeoutIsEvidence(1));
    assertEquals(server.count("timeout.own-delay"), 0);
    assertFalse(idleTimeoutIsEvidence(3));
    assertEquals(server.count("timeout.own-delay"), 2, "one extension, then the timeout");
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
