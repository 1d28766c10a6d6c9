// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
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

  private PartitionedFleet fleet;

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
    fleet = PartitionedFleet.start(List.of("hall-a", "hall-a", "hall-b"), 3);
    fleet.partition(0, partition);
    awaitServed(0);
    int failed = failedRequests(0);
    assertTrue(failed <= MAXIMUM_FAILED, failed + " of " + REQUESTS + " failed");
  }

  @Test(dataProvider = "partitions")
  public void testZoneWithoutUpstreamsServesItsCallers(Partition partition) throws Exception {
    fleet = PartitionedFleet.start(List.of("hall-a", "hall-a", "hall-b"), 3);
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
    fleet = PartitionedFleet.start(List.of("hall-a", "hall-a"), 2);
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
  public void testInstanceUsesItsOwnPathAgainAfterPartition() throws Exception {
    fleet = PartitionedFleet.start(List.of("hall-a", "hall-a"), 2);
    fleet.partition(0, Partition.SILENT);
    awaitServed(0);
    fleet.partition(0, Partition.NONE);
    fleet.kill(1);
    awaitServed(0);
    assertEquals(failedRequests(0), 0);
  }
}
