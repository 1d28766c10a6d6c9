// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * Runs an instance as a separate process and fills its only upstream with urgent requests, so that
 * a request of a deferrable route has to wait.
 */
public class DeferredRequestProcessTest {
  private static final int TIMEOUT_MILLIS = 20_000;

  private GatewayCluster cluster;

  @AfterMethod(alwaysRun = true)
  void stop() {
    if (cluster != null) {
      cluster.close();
    }
  }

  /** Starts an instance and fills its upstream; one route has this goal and the lowest rank. */
  private void startFull(String queue, int goalMillis, long responseMillis) throws IOException {
    JsonObject configuration = SampleObjects.configuration(1);
    for (Object entry : configuration.getJsonArray("routes")) {
      JsonObject route = ((JsonObject) entry).put("timeout-ms", TIMEOUT_MILLIS);
      boolean lowest = route.getString("path-prefix").equals(SampleObjects.ONCE);
      route.put("kind", "unsafe").put("priority", lowest ? 2 : 0);
      route.put("goal-ms", lowest ? goalMillis : 1000);
    }
    cluster = GatewayCluster.startManaged(configuration, new JsonObject().put("queue", queue));
    cluster.upstreams.get("i-1").setResponseMillis(responseMillis);
    for (int count = 0; count < SampleObjects.SLOTS; count++) {
      send(SampleObjects.REPEATABLE + "x");
    }
    awaitArrivals(SampleObjects.SLOTS);
  }

  private CompletableFuture<Http.Response> send(String path) {
    String timeout = Integer.toString(TIMEOUT_MILLIS);
    return Http.sendAsync(cluster.request(0, path).setHeader("Request-Deadline", timeout));
  }

  private void awaitArrivals(int count) {
    Await.until(count + " requests at the upstream", () -> cluster.arrivals() == count);
  }

  private void awaitWaiting() {
    Await.until("the request waits", () -> metrics().contains("queue_waited"));
  }

  private String metrics() throws IOException {
    return Http.get(cluster.metricsPort(0), "/metrics").body();
  }

  /** Waits for a line, which the instance writes some time after its decision. */
  private void awaitLog(String text) {
    Await.until(text + " in the log", () -> log().contains(text));
  }

  private String log() throws IOException {
    return Files.readString(cluster.log(0));
  }

  /** Guards against a deferrable request in front of an urgent one, and against losing it. */
  @Test
  public void testDeferrableRequestWaitsForRoomAndIsServed() throws IOException {
    startFull("auto", 2 * TIMEOUT_MILLIS, 3000);
    CompletableFuture<Http.Response> deferred = send(SampleObjects.ONCE + "deferred");
    awaitWaiting();
    send(SampleObjects.REPEATABLE + "urgent");
    assertEquals(deferred.join().status(), 200);
    List<UpstreamStandin.Arrival> arrivals = cluster.upstreams.get("i-1").arrivals();
    assertEquals(arrivals.get(SampleObjects.SLOTS).uri(), SampleObjects.REPEATABLE + "urgent");
    assertEquals(arrivals.get(SampleObjects.SLOTS + 1).uri(), SampleObjects.ONCE + "deferred");
    awaitLog("outcome=sent\"");
  }

  /** Guards against a request that is held for long by an upstream that never has room. */
  @Test
  public void testRequestIsSentAtItsBound() throws IOException {
    startFull("auto", 3000, TIMEOUT_MILLIS);
    send(SampleObjects.ONCE + "deferred");
    awaitArrivals(SampleObjects.SLOTS + 1);
    awaitLog("outcome=sent-at-bound");
  }

  /** Guards against sending a request whose caller left while it waited. */
  @Test
  public void testRequestOfDisconnectedCallerLeavesQueue() throws IOException {
    startFull("auto", 2 * TIMEOUT_MILLIS, TIMEOUT_MILLIS);
    String head =
        "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: left\r\nRequest-Deadline: 20000\r\n"
            + "Authorization: Bearer %s\r\nContent-Length: 0\r\n\r\n";
    try (Socket socket = new Socket("127.0.0.1", cluster.callerPort(0))) {
      String request = String.format(head, SampleObjects.ONCE + "left", SampleObjects.KEY);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      awaitWaiting();
    }
    awaitLog("outcome=ended");
    assertEquals(cluster.arrivals(), SampleObjects.SLOTS);
  }

  /** Guards against a planned stop that closes the connection of a request that still waits. */
  @Test
  public void testPlannedStopSendsWaitingRequests() throws IOException, InterruptedException {
    startFull("auto", 2 * TIMEOUT_MILLIS, TIMEOUT_MILLIS);
    send(SampleObjects.ONCE + "deferred");
    awaitWaiting();
    cluster.signal(0, "TERM");
    awaitArrivals(SampleObjects.SLOTS + 1);
  }

  /** Guards against any wait with the part switched off. */
  @Test
  public void testNothingWaitsWithSwitchOff() throws IOException {
    startFull("off", 2 * TIMEOUT_MILLIS, TIMEOUT_MILLIS);
    send(SampleObjects.ONCE + "deferred");
    awaitArrivals(SampleObjects.SLOTS + 1);
    assertFalse(metrics().contains("queue_"), metrics());
    assertFalse(log().contains("queued for"), log());
  }
}
