// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.oatlug.adapter.standin.RawUpstream;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.test.Await;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against an upstream whose event never ends, for which the instance keeps bytes until it
 * has no memory left for the requests of any caller.
 */
public class EndlessEventTest {
  /** More than an event may have, and than the sockets on the way hold. */
  private static final long MAXIMUM_BYTES_SENT = 64L * 1024 * 1024;

  private static final int ROUNDS = 20;

  private GatewayServerFixture server;
  private RawUpstream upstream;
  private int port;

  @BeforeMethod
  void start() throws Exception {
    server = new GatewayServerFixture();
    upstream = server.addRawUpstream("i-1");
    port = server.listen();
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    server.close();
  }

  private static String head(String id) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: signed\r\n".formatted(id)
        + "Connection: close\r\nContent-Type: text/event-stream\r\n\r\n";
  }

  private String requestStream(int number) throws IOException {
    return GatewayServerFixture.request(
        port, SampleObjects.STREAM, "request-" + number, GatewayServerFixture.GENERATION);
  }

  @Test
  public void testEndlessEventEndsTheResponse() throws IOException {
    String line = "x".repeat(65_536);
    upstream.respondWith(id -> head(id) + "id: 1\ndata: one\n\nid: 2\ndata: ", line, false);
    for (int number = 1; number <= ROUNDS; number++) {
      String response = requestStream(number);
      assertTrue(response.startsWith("HTTP/1.1 "), response);
      assertFalse(response.endsWith("\r\n0\r\n\r\n"), "a partial response looks complete");
      assertFalse(response.contains("id: 2"), "a partial event was relayed");
    }
    int arrivals = upstream.arrivals();
    assertTrue(arrivals > 0, "the upstream got no request");
    Await.until("the connections are closed", () -> upstream.closed() >= arrivals);
    assertTrue(
        upstream.repeatedBytes() < arrivals * MAXIMUM_BYTES_SENT,
        upstream.repeatedBytes() + " bytes were read");
    Await.until("the memory is released", () -> server.reservedBytes() == 0);
  }

  /** A long event below the maximum arrives in many parts and is relayed as a whole. */
  @Test
  public void testLongEventIsRelayed() throws IOException {
    String event = "id: 1\ndata: " + "Q".repeat(EventSplitter.MAXIMUM_EVENT_BYTES / 2) + "\n\n";
    upstream.respondWith(id -> head(id) + event, "", true);
    String response = requestStream(1);
    assertTrue(response.startsWith("HTTP/1.1 200 "), response.lines().findFirst().orElse(""));
    assertEquals(response.replaceAll("[^Q]", "").length(), EventSplitter.MAXIMUM_EVENT_BYTES / 2);
    Await.until("the memory is released", () -> server.reservedBytes() == 0);
  }
}
