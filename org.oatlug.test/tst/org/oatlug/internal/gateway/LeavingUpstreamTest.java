// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests requests whose selected upstream becomes unavailable before the connection to it is open.
 *
 * <p>Guards against requests that reach an upstream after it has announced that it is leaving.
 * Opening a connection may take up to 400 ms, or longer if the process is suspended, so the
 * upstream may start to leave between its selection and the write. It must be checked again before
 * the write.
 */
public class LeavingUpstreamTest {
  private static final String NEAR = "near";
  private static final String FAR = "far";

  private GatewayServerFixture server;

  @BeforeMethod
  void setUp() {
    server = new GatewayServerFixture();
  }

  @AfterMethod
  void tearDown() {
    server.close();
  }

  private static HttpResponse<String> send(int port) throws IOException, InterruptedException {
    URI uri =
        URI.create("http://" + GatewayServerFixture.HOST + ":" + port + SampleObjects.ONCE + "1");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .header("Attempt-Id", "request-1")
            .header("Request-Deadline", "5000")
            .POST(HttpRequest.BodyPublishers.ofString("a body"))
            .build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }

  @Test
  public void testRequestGoesToAnotherUpstreamWhenItsUpstreamLeavesBeforeTheWrite()
      throws Exception {
    final UpstreamStandin near = server.addUpstream(NEAR, "hall-a");
    final UpstreamStandin far = server.addUpstream(FAR, "hall-b");
    int port = server.listen();
    server.onChoice(() -> server.markDraining(NEAR));
    assertEquals(send(port).statusCode(), 200);
    assertEquals(near.arrivals().size(), 0, "requests at the leaving upstream");
    assertEquals(far.arrivals().size(), 1, "requests at the other upstream");
  }

  /** The upstream may ask another request to back off while this one opens its connection. */
  @Test
  public void testRequestGoesToAnotherUpstreamWhenItsUpstreamBacksOffBeforeTheWrite()
      throws Exception {
    final UpstreamStandin near = server.addUpstream(NEAR, "hall-a");
    final UpstreamStandin far = server.addUpstream(FAR, "hall-b");
    int port = server.listen();
    server.onChoice(() -> server.askToBackOff(NEAR, Duration.ofMinutes(1)));
    assertEquals(send(port).statusCode(), 200);
    assertEquals(near.arrivals().size(), 0, "requests at the upstream that asked to back off");
    assertEquals(far.arrivals().size(), 1, "requests at the other upstream");
  }

  @Test
  public void testRequestIsRefusedAsNotRunWithoutAnotherUpstream() throws Exception {
    final UpstreamStandin near = server.addUpstream(NEAR, "hall-a");
    int port = server.listen();
    server.onChoice(() -> server.markDraining(NEAR));
    assertEquals(send(port).statusCode(), 503);
    assertEquals(near.arrivals().size(), 0, "requests at the leaving upstream");
  }
}
