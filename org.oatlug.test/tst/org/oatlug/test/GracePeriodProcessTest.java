// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against requests that a planned stop accepts and whose connections are closed without a
 * response when its grace period ends. Runs a separate process.
 */
public class GracePeriodProcessTest {
  /** Exceeds the grace period, so that the stop has to end the requests. */
  private static final int TIMEOUT_MILLIS = 25_000;

  private GatewayCluster cluster;
  private UpstreamStandin upstream;

  @BeforeMethod
  void start() throws IOException {
    JsonObject configuration = SampleObjects.configuration(1);
    configuration
        .getJsonArray("routes")
        .forEach(route -> ((JsonObject) route).put("timeout-ms", TIMEOUT_MILLIS));
    cluster = GatewayCluster.startManaged(configuration, new JsonObject());
    upstream = cluster.upstreams.get("i-1");
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    cluster.close();
  }

  private void beginStop() throws IOException, InterruptedException {
    cluster.signal(0, "TERM");
    Await.until(
        "the stop has begun",
        () ->
            Files.readString(cluster.log(0), StandardCharsets.UTF_8)
                .contains("shuts down gracefully"));
  }

  private void awaitExit() throws InterruptedException {
    assertTrue(cluster.process(0).waitFor(40, TimeUnit.SECONDS), "the process does not end");
    assertEquals(cluster.process(0).exitValue(), 0);
  }

  /** The upstream may have run the request, so the response must not be a promise. */
  @Test
  public void testRequestThatOutlastsGracePeriodGetsResponse() throws Exception {
    upstream.setBehaviour(UpstreamStandin.Behaviour.HANGS);
    beginStop();
    CompletableFuture<Http.Response> sent =
        Http.sendAsync(
            cluster
                .request(0, SampleObjects.ONCE + "x")
                .setHeader("Request-Deadline", Integer.toString(TIMEOUT_MILLIS)));
    Http.Response response = sent.get();
    assertEquals(response.status(), 504, response.body());
    assertEquals(response.notRun(), "unknown");
    assertEquals(upstream.arrivals().size(), 1);
    awaitExit();
  }

  @Test
  public void testRequestWithIncompleteBodyIsRefusedAsNotRun() throws Exception {
    try (Socket socket = new Socket("127.0.0.1", cluster.callerPort(0))) {
      socket.setSoTimeout(40_000);
      String head =
          "POST %sx HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: raw-1\r\n"
                  .formatted(SampleObjects.ONCE)
              + "Authorization: Bearer "
              + SampleObjects.KEY
              + "\r\nContent-Length: 10\r\n\r\nabc";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      beginStop();
      String response =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertTrue(response.startsWith("HTTP/1.1 503 "), response);
      assertTrue(response.contains("\"notRun\":\"yes\""), response);
    }
    assertEquals(upstream.arrivals().size(), 0);
    awaitExit();
  }
}
