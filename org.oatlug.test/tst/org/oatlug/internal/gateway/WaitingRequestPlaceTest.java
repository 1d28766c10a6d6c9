// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.oatlug.adapter.standin.RawUpstream;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.test.Await;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against an instance that accepts no callers because requests which only wait for their
 * upstreams occupy all of its places.
 */
public class WaitingRequestPlaceTest {
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: signed\r\n";

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

  private Socket send(String path) throws Exception {
    Socket caller = new Socket(GatewayServerFixture.HOST, port);
    String request =
        "POST %s1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: request-1\r\n%sContent-Length: 4\r\n\r\n"
            .formatted(path, GatewayServerFixture.HOST, GatewayServerFixture.GENERATION);
    caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    Await.until("the head is read", () -> server.acceptWindow().occupied() == 1);
    caller.getOutputStream().write("body".getBytes(StandardCharsets.US_ASCII));
    Await.until("the upstream has the request", () -> upstream.arrivals() == 1);
    return caller;
  }

  @Test
  public void testRequestWithoutResponseOccupiesNoPlace() throws Exception {
    try (Socket caller = send(SampleObjects.ONCE)) {
      Await.until("the place is free", () -> server.acceptWindow().occupied() == 0);
      assertEquals(server.openRequests(), 1);
      caller.close();
      Await.until("the request has ended", () -> server.openRequests() == 0);
      assertEquals(server.acceptWindow().occupied(), 0, "released once");
    }
  }

  @Test
  public void testStreamOccupiesNoPlace() throws Exception {
    upstream.respondWith(
        id ->
            HEAD.formatted(id)
                + "Content-Type: text/event-stream\r\nContent-Length: 1000\r\n\r\ndata: 1\n\n",
        "",
        false);
    try (Socket caller = send(SampleObjects.STREAM)) {
      assertEquals(caller.getInputStream().read(), 'H', "the response has begun");
      Await.until("the place is free", () -> server.acceptWindow().occupied() == 0);
      assertEquals(server.openRequests(), 1);
    }
    Await.until("the request has ended", () -> server.openRequests() == 0);
    assertEquals(server.acceptWindow().occupied(), 0, "released once");
  }
}
