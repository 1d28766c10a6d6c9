// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.oatlug.entry.PartitionableTransport.Partition;
import org.oatlug.test.Await;
import org.oatlug.test.Http;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against an instance that fails its callers while only it has lost the upstreams. */
public class PartitionedInstanceTest {
  private static final int REQUESTS = 100;

  /** At most one first try in 50 may fail. */
  private static final int MAXIMUM_FAILED = REQUESTS / 50;

  private static final int EVENTS = 40;
  private static final int EVENT_PAUSE_MILLIS = 25;
  private static final int UPSTREAM_PAUSE_MILLIS = 1000;

  private GatewayFleet fleet;

  @AfterMethod(alwaysRun = true)
  void stop() {
    if (fleet != null) {
      fleet.close();
    }
  }

  @DataProvider
  Object[][] partitions() {
    return new Object[][] {{Partition.SILENT}, {Partition.RESET}, {Partition.REFUSE_NEW}};
  }

  private HttpRequest.Builder requestOfEachKind(int instance, int number) {
    return switch (number % 3) {
      case 0 -> fleet.request(instance, SampleObjects.REPEATABLE);
      case 1 -> fleet.request(instance, SampleObjects.ONCE);
      default -> fleet.streamRequest(instance);
    };
  }

  private int failedRequests(int instance) throws IOException {
    int failed = 0;
    for (int number = 0; number < REQUESTS; number++) {
      failed += Http.send(requestOfEachKind(instance, number)).status() == 200 ? 0 : 1;
    }
    return failed;
  }

  /** Sends requests until one is served, as the partition has to be noticed first. */
  private void awaitServed(int instance) {
    Await.until(
        "a request is served",
        () -> Http.send(fleet.request(instance, SampleObjects.ONCE)).status() == 200);
  }

  @Test(dataProvider = "partitions")
  public void testInstanceWithoutUpstreamsServesItsCallers(Partition partition) throws Exception {
    fleet = GatewayFleet.start(List.of("hall-a", "hall-a", "hall-b"), 3);
    fleet.partition(0, partition);
    awaitServed(0);
    int failed = failedRequests(0);
    assertTrue(failed <= MAXIMUM_FAILED, failed + " of " + REQUESTS + " failed");
  }

  @Test(dataProvider = "partitions")
  public void testZoneWithoutUpstreamsServesItsCallers(Partition partition) throws Exception {
    fleet = GatewayFleet.start(List.of("hall-a", "hall-a", "hall-b"), 3);
    fleet.partition(0, partition);
    fleet.partition(1, partition);
    awaitServed(0);
    awaitServed(1);
    int failed = failedRequests(0) + failedRequests(1);
    assertTrue(failed <= 2 * MAXIMUM_FAILED, failed + " of " + 2 * REQUESTS + " failed");
  }

  @Test(dataProvider = "partitions")
  public void testStreamOfInstanceThatLosesUpstreamsContinues(Partition partition)
      throws Exception {
    fleet = GatewayFleet.start(List.of("hall-a", "hall-a"), 2);
    for (UpstreamStandin upstream : fleet.upstreams.values()) {
      upstream.setStream(EVENTS, EVENT_PAUSE_MILLIS, 0);
    }
    final CompletableFuture<Http.Response> stream = Http.sendAsync(fleet.streamRequest(0));
    final String id = fleet.lastId();
    Await.until("the stream has begun", () -> !fleet.arrivals().isEmpty());
    Await.pause(EVENTS * EVENT_PAUSE_MILLIS / 4);
    fleet.partition(0, partition);
    Http.Response answer = stream.get();
    assertEquals(answer.status(), 200);
    List<String> events = new ArrayList<>();
    for (long number = 0; number < EVENTS; number++) {
      events.add(UpstreamStandin.eventText(id, number));
    }
    assertEquals(answer.body(), String.join("", events));
  }

  @Test
  public void testForwardedRequestReachesUpstreamOnceAndUnchanged() throws Exception {
    fleet = GatewayFleet.start(List.of("hall-a", "hall-a"), 2);
    fleet.partition(0, Partition.RESET);
    awaitServed(0);
    Http.Response answer =
        Http.send(
            fleet
                .request(0, SampleObjects.ONCE)
                .header("Oatlug-Forwarded", "forged")
                .header("Tenant", "another"));
    assertEquals(answer.status(), 200);
    assertTrue(answer.header("Response-Signature").startsWith("signed-by-i-"));
    assertEquals(answer.header("Oatlug-Outcome"), "");
    List<UpstreamStandin.Arrival> arrivals = fleet.arrivalsOf(fleet.lastId());
    assertEquals(arrivals.size(), 1);
    UpstreamStandin.Arrival arrival = arrivals.get(0);
    assertEquals(arrival.body(), "a body");
    assertEquals(arrival.header("Tenant").orElse(""), "desk");
    assertTrue(Integer.parseInt(arrival.header("Request-Deadline").orElseThrow()) <= 10_000);
    assertTrue(arrival.headers().keySet().stream().noneMatch(name -> name.startsWith("oatlug")));
    assertTrue(arrival.header("Authorization").isEmpty());
  }

  @Test
  public void testPauseOfSoundUpstreamBreaksOffNoForwardedStream() throws Exception {
    fleet = GatewayFleet.start(List.of("hall-a", "hall-a"), 2);
    fleet.partition(0, Partition.RESET);
    awaitServed(0);
    for (UpstreamStandin upstream : fleet.upstreams.values()) {
      upstream.setStream(4, UPSTREAM_PAUSE_MILLIS, 0);
    }
    assertEquals(Http.send(fleet.streamRequest(0)).status(), 200);
    assertEquals(fleet.arrivalsOf(fleet.lastId()).size(), 1);
  }

  @Test
  public void testPartitionIsNoEvidenceThatRequestCrashesUpstreams() throws Exception {
    fleet = GatewayFleet.start(List.of("hall-a"), 6);
    String path = SampleObjects.REPEATABLE + "same";
    for (int round = 0; round < 5; round++) {
      setBehaviour(UpstreamStandin.Behaviour.HANGS);
      final int before = fleet.arrivals().size();
      final CompletableFuture<Http.Response> answer =
          Http.sendAsync(fleet.repeatedRequest(0, path));
      Await.until("the request runs", () -> fleet.arrivals().size() > before);
      fleet.partition(0, Partition.RESET);
      answer.get();
      setBehaviour(UpstreamStandin.Behaviour.NORMAL);
      fleet.partition(0, Partition.NONE);
      awaitServed(0);
    }
    assertEquals(Http.send(fleet.repeatedRequest(0, path)).status(), 200);
    assertFalse(fleet.metrics(0).contains("crash_upstream_ended"));
  }

  private void setBehaviour(UpstreamStandin.Behaviour behaviour) {
    fleet.upstreams.values().forEach(upstream -> upstream.setBehaviour(behaviour));
  }

  @Test
  public void testCallerCannotUsePortForForwardedRequests() throws Exception {
    fleet = GatewayFleet.start(List.of("hall-a"), 1);
    Http.Response answer =
        Http.send(
            Http.to(fleet.forwardingPort(0), SampleObjects.ONCE + "x")
                .header("Attempt-Id", "forged")
                .header("Oatlug-Forwarded", "gA")
                .header("Oatlug-Proof", "0")
                .POST(HttpRequest.BodyPublishers.ofString("a body")));
    assertEquals(answer.status(), 403);
    assertEquals(fleet.arrivals().size(), 0);
  }

  @Test
  public void testServiceThatNobodyReachesIsRefusedAtOnce() throws Exception {
    fleet = GatewayFleet.start(List.of("hall-a", "hall-a", "hall-b"), 2);
    for (int instance = 0; instance < 3; instance++) {
      fleet.partition(instance, Partition.SILENT);
    }
    for (int instance = 0; instance < 3; instance++) {
      awaitReason(instance, "upstreams-unreachable");
    }
    Http.Response refusal = Http.send(fleet.request(0, SampleObjects.ONCE));
    assertEquals(refusal.status(), 503);
    assertEquals(refusal.notRun(), "yes");
    for (int instance = 0; instance < 3; instance++) {
      fleet.partition(instance, Partition.NONE);
    }
    for (int instance = 0; instance < 3; instance++) {
      awaitServed(instance);
    }
  }

  @Test
  public void testReceiverForwardsNoForwardedRequest() throws Exception {
    fleet = GatewayFleet.start(List.of("hall-a", "hall-a", "hall-b"), 2);
    fleet.partition(0, Partition.RESET);
    fleet.partition(1, Partition.RESET);
    awaitServed(0);
    assertEquals(fleet.counter(1, "forward_sent"), 0.0);
  }

  @Test
  public void testRequestsForServiceThatIsDownAreNotForwarded() throws Exception {
    fleet = GatewayFleet.start(List.of("hall-a", "hall-a", "hall-b"), 2);
    for (int instance = 0; instance < 3; instance++) {
      fleet.partition(instance, Partition.RESET);
    }
    for (int instance = 0; instance < 3; instance++) {
      awaitReason(instance, "upstreams-unreachable");
    }
    double before = forwardedByAll();
    for (int instance = 0; instance < 3; instance++) {
      assertEquals(failedRequests(instance), REQUESTS);
    }
    // Each may still take each of the others for a receiver once.
    assertTrue(forwardedByAll() - before <= 6, forwardedByAll() - before + " forwarded");
    assertEquals(fleet.arrivals().size(), 0);
  }

  private double forwardedByAll() throws IOException {
    return fleet.counter(0, "forward_sent")
        + fleet.counter(1, "forward_sent")
        + fleet.counter(2, "forward_sent");
  }

  private void awaitReason(int instance, String reason) {
    Await.until(
        reason,
        () -> {
          Http.Response answer = Http.send(fleet.request(instance, SampleObjects.ONCE));
          return answer.status() == 503 && answer.reason().equals(reason);
        });
  }

  @Test
  public void testUnrepeatableRequestIsNotRepeatedWhenItsReceiverIsLost() throws Exception {
    fleet = GatewayFleet.start(List.of("hall-a", "hall-a", "hall-b"), 1);
    fleet.partition(0, Partition.RESET);
    fleet.partition(2, Partition.RESET);
    awaitServed(0);
    fleet.upstreams.get("i-1").setBehaviour(UpstreamStandin.Behaviour.HANGS);
    fleet.partition(2, Partition.NONE);
    final CompletableFuture<Http.Response> answer =
        Http.sendAsync(fleet.request(0, SampleObjects.ONCE));
    final String id = fleet.lastId();
    Await.until("the request runs", () -> !fleet.arrivalsOf(id).isEmpty());
    fleet.kill(1);
    assertEquals(answer.get().status(), 502);
    assertEquals(answer.get().notRun(), "unknown");
    assertEquals(fleet.arrivalsOf(id).size(), 1);
  }

  /** Sends requests until the first instance knows the others, one in its zone and one not. */
  private void awaitBothAsked() {
    Await.until(
        "both are asked",
        () -> {
          Http.send(fleet.request(0, SampleObjects.ONCE));
          String metrics = fleet.metrics(0);
          return metrics.contains("PathQuery_own_zone") && metrics.contains("PathQuery_other_zone");
        });
    awaitServed(0);
  }

  @Test
  public void testRepeatableRequestIsRepeatedWhenItsReceiverIsLost() throws Exception {
    fleet = GatewayFleet.start(List.of("hall-a", "hall-a", "hall-b"), 1);
    fleet.partition(0, Partition.RESET);
    awaitBothAsked();
    fleet.upstreams.get("i-1").setBehaviour(UpstreamStandin.Behaviour.HANGS);
    final double receivedBefore = fleet.counter(1, "forward_received");
    final CompletableFuture<Http.Response> answer =
        Http.sendAsync(fleet.request(0, SampleObjects.REPEATABLE));
    final String id = fleet.lastId();
    Await.until("the request runs", () -> !fleet.arrivalsOf(id).isEmpty());
    fleet.upstreams.get("i-1").setBehaviour(UpstreamStandin.Behaviour.NORMAL);
    fleet.kill(fleet.counter(1, "forward_received") > receivedBefore ? 1 : 2);
    assertEquals(answer.get().status(), 200);
    assertEquals(fleet.arrivalsOf(id).size(), 2);
  }

  @Test
  public void testCallerThatLeavesCancelsForwardedRequestAtUpstream() throws Exception {
    fleet = GatewayFleet.start(List.of("hall-a", "hall-a"), 1);
    fleet.partition(0, Partition.RESET);
    awaitServed(0);
    UpstreamStandin upstream = fleet.upstreams.get("i-1");
    upstream.setBehaviour(UpstreamStandin.Behaviour.HANGS);
    Socket caller = fleet.sendRaw(0, SampleObjects.ONCE);
    Await.until("the request runs", () -> !fleet.arrivalsOf(fleet.lastId()).isEmpty());
    caller.close();
    Await.until("the request is cancelled", () -> upstream.cancelled() == 1);
  }

  @Test
  public void testForwardedRequestUsesNoMoreAttemptsThanItsRoute() throws Exception {
    fleet = GatewayFleet.start(List.of("hall-a", "hall-a", "hall-b"), 4);
    fleet.partition(0, Partition.RESET);
    awaitServed(0);
    for (UpstreamStandin upstream : fleet.upstreams.values()) {
      upstream.setBehaviour(UpstreamStandin.Behaviour.FAILS);
    }
    for (int number = 0; number < 20; number++) {
      Http.send(fleet.request(0, SampleObjects.REPEATABLE));
      int attempts = fleet.arrivalsOf(fleet.lastId()).size();
      assertTrue(attempts >= 1 && attempts <= 2, attempts + " attempts of a route with 2");
    }
  }

  @Test
  public void testInstanceUsesItsOwnPathAgainAfterPartition() throws Exception {
    fleet = GatewayFleet.start(List.of("hall-a", "hall-a"), 2);
    fleet.partition(0, Partition.SILENT);
    awaitServed(0);
    fleet.partition(0, Partition.NONE);
    fleet.kill(1);
    awaitServed(0);
    assertEquals(failedRequests(0), 0);
  }
}
