// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.test.Await;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a request that goes on after one of its handlers has thrown an error: a part of a
 * body is then missing, or the caller waits until the deadline. The errors are thrown by counters
 * that the handlers increment.
 */
public class HandlerErrorTest {
  private static final int PART_BYTES = 1000;
  private static final int RESPONSE_BYTES = 200_000;
  private static final String END_OF_HEAD = "\r\n\r\n";

  private GatewayServerFixture server;
  private UpstreamStandin upstream;
  private int port;

  @BeforeMethod
  void start() throws Exception {
    server = new GatewayServerFixture();
    upstream = server.addUpstream("i-1", "hall-a");
    port = server.listen();
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    server.close();
  }

  private Socket open() throws IOException {
    Socket socket = new Socket(GatewayServerFixture.HOST, port);
    socket.setSoTimeout(10_000);
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String head(String length) {
    return ("POST %s1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: request-1\r\n"
            + "Connection: close\r\n%s\r\n\r\n")
        .formatted(SampleObjects.ONCE, GatewayServerFixture.HOST, length);
  }

  private static String readAll(Socket socket) throws IOException {
    InputStream input = socket.getInputStream();
    StringBuilder text = new StringBuilder();
    byte[] bytes = new byte[8192];
    try {
      for (int count = input.read(bytes); count > 0; count = input.read(bytes)) {
        text.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
      }
    } catch (SocketTimeoutException e) {
      text.append(" no further bytes");
    }
    return text.toString();
  }

  private void sendSecondPartInto(Runnable error, String length, String secondPart)
      throws IOException {
    try (Socket socket = open()) {
      write(socket, head(length) + (length.startsWith("T") ? "3e8\r\n" : ""));
      write(socket, "a".repeat(PART_BYTES));
      Await.until(
          "the first part arrives", () -> server.count(InstanceLoadLog.FROM_CALLERS) >= PART_BYTES);
      error.run();
      write(socket, secondPart);
      String response = readAll(socket);
      assertTrue(response.startsWith("HTTP/1.1 503 "), response);
      assertTrue(response.contains("\"notRun\""), response);
    }
    assertEquals(upstream.arrivals().size(), 0, "a body without one of its parts was sent");
    Await.until("the memory is released", () -> server.reservedBytes() == 0);
    assertEquals(server.openRequests(), 0);
  }

  @Test
  public void testErrorWhileBodyIsReceivedEndsTheRequest() throws IOException {
    sendSecondPartInto(
        () -> server.failOnCount(InstanceLoadLog.FROM_CALLERS, 1),
        "Content-Length: " + 2 * PART_BYTES,
        "b".repeat(PART_BYTES));
  }

  @Test
  public void testErrorWhileChunkedBodyIsReceivedEndsTheRequest() throws IOException {
    sendSecondPartInto(
        () -> server.failOnCount(InstanceLoadLog.FROM_CALLERS, 1),
        "Transfer-Encoding: chunked",
        "\r\n3e8\r\n" + "b".repeat(PART_BYTES) + "\r\n0\r\n\r\n");
  }

  /** The request was not written when the error occurs, so it has not run. */
  @Test
  public void testErrorWhileUpstreamIsChosenEndsTheRequest() throws IOException {
    server.onChoice(
        () -> {
          throw new OutOfMemoryError("thrown by the test");
        });
    server.addUpstream("i-2", "hall-a");
    try (Socket socket = open()) {
      write(socket, head("Content-Length: 0"));
      String response = readAll(socket);
      assertTrue(response.startsWith("HTTP/1.1 503 "), response);
    }
    assertEquals(upstream.arrivals().size(), 0);
  }

  /** The upstream has run the request, so the response must not look complete or be repeated. */
  @Test
  public void testErrorWhileResponseIsReceivedEndsTheRequest() throws IOException {
    upstream.setPaddingBytes(RESPONSE_BYTES);
    server.failOnCount(InstanceLoadLog.FROM_UPSTREAMS, 3);
    try (Socket socket = open()) {
      write(socket, head("Content-Length: 0"));
      String response = readAll(socket);
      assertTrue(response.startsWith("HTTP/1.1 502 "), response.lines().findFirst().orElse(""));
    }
    assertEquals(upstream.arrivals().size(), 1);
    Await.until("the memory is released", () -> server.reservedBytes() == 0);
  }

  @Test
  public void testErrorInsideStreamDoesNotLookLikeItsEnd() throws IOException {
    server.failOnCount(InstanceLoadLog.FROM_UPSTREAMS, 3);
    try (Socket socket = open()) {
      String generation = "Model: m\r\nToken-Usage: 100,50\r\nPrefix-Hash: a1:60\r\n";
      write(
          socket,
          head(generation + "Content-Length: 0").replace(SampleObjects.ONCE, SampleObjects.STREAM));
      String response = readAll(socket);
      assertFalse(response.endsWith("\r\n0\r\n\r\n"), "a partial response looks complete");
      assertFalse(response.contains("no further bytes"), "the caller waits until the deadline");
    }
  }

  /** A caller that leaves inside a body frees the memory that its length reserved. */
  @Test
  public void testMemoryIsReleasedWhenCallerLeavesInsideBody() throws IOException {
    try (Socket socket = open()) {
      write(socket, head("Content-Length: 50000") + "a".repeat(PART_BYTES));
      Await.until("bytes are reserved", () -> server.reservedBytes() > 0);
    }
    Await.until("the memory is released", () -> server.reservedBytes() == 0);
    assertEquals(server.openRequests(), 0);
    try (Socket socket = open()) {
      write(socket, head("Content-Length: 2") + "ab");
      String response = readAll(socket).toLowerCase(Locale.ROOT);
      assertTrue(response.startsWith("http/1.1 200 "), response);
      assertTrue(response.contains(END_OF_HEAD), response);
    }
  }

  /** Exhausted memory may have interrupted any change of state, so the instance has to know. */
  @Test
  public void testInstanceLearnsOfExhaustedMemoryOnly() {
    AtomicInteger reports = new AtomicInteger();
    HandlerErrors errors = HandlerErrors.create(Meters.of(new MetricRegistry()));
    errors.onStateUnknown(reports::incrementAndGet);
    errors.record(new IllegalStateException("thrown by the test"));
    errors.record(new StackOverflowError("thrown by the test"));
    assertEquals(reports.get(), 0);
    errors.record(new OutOfMemoryError("thrown by the test"));
    assertEquals(reports.get(), 1);
  }
}
