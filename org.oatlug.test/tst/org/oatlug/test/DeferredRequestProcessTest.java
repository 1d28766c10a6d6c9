// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.oatlug.adapter.standin.UpstreamStandin.Behaviour;
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

  /** A configuration in which the requests of the at-most-once route have time to wait. */
  private static JsonObject configuration(int deferrableGoalMillis) {
    JsonObject configuration = SampleObjects.configuration(1);
    for (Object entry : configuration.getJsonArray("routes")) {
      JsonObject route = (JsonObject) entry;
      boolean deferrable = route.getString("path-prefix").equals(SampleObjects.ONCE);
      route.put("timeout-ms", TIMEOUT_MILLIS);
      route.put("kind", "unsafe");
      route.put("priority", deferrable ? 2 : 0);
      route.put("goal-ms", deferrable ? deferrableGoalMillis : 1000);
    }
    return configuration;
  }

  private UpstreamStandin start(String queue, int deferrableGoalMillis) throws IOException {
    JsonObject switches = new JsonObject().put("queue", queue);
    cluster = GatewayCluster.startManaged(configuration(deferrableGoalMillis), switches);
    return cluster.upstreams.get("i-1");
  }

  private HttpRequest.Builder request(String path) {
    return cluster.request(0, path).setHeader("Request-Deadline", Integer.toString(TIMEOUT_MILLIS));
  }

  private void fillUpstream() {
    for (int count = 0; count < SampleObjects.SLOTS; count++) {
      Http.sendAsync(request(SampleObjects.REPEATABLE + "x"));
    }
    awaitArrivals(SampleObjects.SLOTS);
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

  private String log() throws IOException {
    return Files.readString(cluster.log(0));
  }

  private List<String> pathsAtUpstream() {
    List<String> paths = new ArrayList<>();
    cluster.upstreams.get("i-1").arrivals().forEach(arrival -> paths.add(arrival.uri()));
    return paths;
  }

  /** Guards against a deferrable request in front of an urgent one, and against losing it. */
  @Test
  public void testDeferrableRequestWaitsForRoomAndIsServed() throws IOException {
    start("auto", 2 * TIMEOUT_MILLIS).setResponseMillis(3000);
    fillUpstream();
    CompletableFuture<Http.Response> deferred =
        Http.sendAsync(request(SampleObjects.ONCE + "deferred"));
    awaitWaiting();
    Http.sendAsync(request(SampleObjects.REPEATABLE + "urgent"));
    assertEquals(deferred.join().status(), 200);
    assertEquals(
        pathsAtUpstream().subList(SampleObjects.SLOTS, SampleObjects.SLOTS + 2),
        List.of(SampleObjects.REPEATABLE + "urgent", SampleObjects.ONCE + "deferred"));
    assertTrue(log().contains("outcome=sent\""), log());
  }

  /** Guards against a request that is held for long by an upstream that never has room. */
  @Test
  public void testRequestIsSentAtItsBound() throws IOException {
    start("auto", 3000).setBehaviour(Behaviour.HANGS);
    fillUpstream();
    Http.sendAsync(request(SampleObjects.ONCE + "deferred"));
    awaitArrivals(SampleObjects.SLOTS + 1);
    assertTrue(log().contains("outcome=sent-at-bound"), log());
    assertTrue(metrics().contains("queue_sent_at_bound"), metrics());
  }

  /** Guards against sending a request whose caller left while it waited. */
  @Test
  public void testRequestOfDisconnectedCallerLeavesQueue() throws IOException {
    start("auto", 2 * TIMEOUT_MILLIS).setBehaviour(Behaviour.HANGS);
    fillUpstream();
    try (Socket socket = new Socket("127.0.0.1", cluster.callerPort(0))) {
      String head =
          "POST "
              + SampleObjects.ONCE
              + "left HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: left\r\n"
              + "Request-Deadline: 20000\r\nAuthorization: Bearer "
              + SampleObjects.KEY
              + "\r\nContent-Length: 0\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
      awaitWaiting();
    }
    Await.until("the request left the queue", () -> log().contains("outcome=ended"));
    assertEquals(cluster.arrivals(), SampleObjects.SLOTS);
  }

  /** Guards against a planned stop that closes the connection of a request that still waits. */
  @Test
  public void testPlannedStopSendsWaitingRequests() throws IOException, InterruptedException {
    start("auto", 2 * TIMEOUT_MILLIS).setBehaviour(Behaviour.HANGS);
    fillUpstream();
    Http.sendAsync(request(SampleObjects.ONCE + "deferred"));
    awaitWaiting();
    cluster.signal(0, "TERM");
    awaitArrivals(SampleObjects.SLOTS + 1);
  }

  /** Guards against any wait with the part switched off. */
  @Test
  public void testNothingWaitsWithSwitchOff() throws IOException {
    start("off", 2 * TIMEOUT_MILLIS).setBehaviour(Behaviour.HANGS);
    fillUpstream();
    Http.sendAsync(request(SampleObjects.ONCE + "deferred"));
    awaitArrivals(SampleObjects.SLOTS + 1);
    assertFalse(metrics().contains("queue_"), metrics());
    assertFalse(log().contains("queued for"), log());
  }

  /** Guards against waits in a deployment whose routes do not call for them. */
  @Test
  public void testNothingWaitsWithoutDeferrableRoute() throws IOException {
    start("auto", 1500).setBehaviour(Behaviour.HANGS);
    fillUpstream();
    Http.sendAsync(request(SampleObjects.ONCE + "deferred"));
    awaitArrivals(SampleObjects.SLOTS + 1);
    assertFalse(log().contains("queued for"), log());
  }
}
