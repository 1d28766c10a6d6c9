// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Guards against requests that are billed twice or not at all: when an instance is killed or
 * suspended and a witness bills in its place, when the platform is unavailable or its response to a
 * bill is lost, and when a caller retries. The engines' own records decide which requests ran.
 */
public class BillingProcessTest {
  private TestCluster cluster;

  /** Starts the cluster. */
  @BeforeClass
  public void start() throws IOException {
    cluster = TestCluster.start(3, 2, 1);
  }

  /** Stops the cluster. */
  @AfterClass(alwaysRun = true)
  public void stop() throws IOException {
    cluster.close();
  }

  /**
   * An instance is killed while its requests are between the opening of their bills, the response
   * and the settlement; a witness submits its bills.
   */
  @Test
  public void testRequestsOfKilledInstanceAreBilledOnce() throws IOException {
    List<CompletableFuture<Http.Response>> answers = new ArrayList<>();
    int before = cluster.records().size();
    for (int number = 0; number < 12; number++) {
      answers.add(Http.sendAsync(cluster.chatRequest(0, "small", true, 150 + 10 * number)));
    }
    Await.until("the engines run its requests", () -> cluster.records().size() >= before + 12);
    for (int number = 0; number < 12; number++) {
      answers.add(Http.sendAsync(cluster.chatRequest(1, "small", number % 2 == 0, 10)));
    }
    cluster.kill(0);
    answers.forEach(answer -> answer.handle((done, failure) -> true).join());
    assertBilledOnce();
    cluster.startEntry(0);
    cluster.awaitReady(0);
  }

  /** An instance is suspended until a witness has billed for it, and then submits its own bills. */
  @Test(dependsOnMethods = "testRequestsOfKilledInstanceAreBilledOnce")
  public void testSuspendedInstanceAndItsWitnessBillOnce() throws IOException {
    int before = cluster.records().size();
    List<CompletableFuture<Http.Response>> answers = new ArrayList<>();
    for (int number = 0; number < 8; number++) {
      answers.add(Http.sendAsync(cluster.chatRequest(0, "small", true, 60)));
    }
    Await.until("the engines run its requests", () -> cluster.records().size() >= before + 8);
    cluster.signal(0, "STOP");
    Await.until(
        "the witnesses have billed",
        () -> billedIds(cluster.bills()).containsAll(recordedRequestIds()));
    cluster.signal(0, "CONT");
    answers.forEach(answer -> answer.handle((done, failure) -> true).join());
    Await.until("no bill is pending", () -> pendingBills() == 0);
    assertBilledOnce();
  }

  private int pendingBills() throws IOException {
    int pending = 0;
    for (int index = 0; index < 3; index++) {
      JsonNode status = Http.get(cluster.operatorPort(index), "/status").json();
      pending += status.path("unconfirmedBills").asInt() + status.path("heldBills").asInt();
    }
    return pending;
  }

  /** Bills of requests answered while the platform is unavailable are queued and entered once. */
  @Test
  public void testBillsAreQueuedWhilePlatformIsUnavailable() throws IOException {
    cluster.setFaults(cluster.platformPort, "{\"down\":-1}");
    for (int number = 0; number < 10; number++) {
      Http.Response answer = Http.send(cluster.chatRequest(number % 3, "small", false, 3));
      assertEquals(answer.status(), 200, answer.body());
    }
    cluster.setFaults(cluster.platformPort, "{\"loseReply\":2}");
    assertBilledOnce();
    cluster.setFaults(cluster.platformPort, "{}");
  }

  /** A retry with the same idempotency key is answered from the ledger and billed once. */
  @Test
  public void testRetryWithKeyIsBilledOnce() throws IOException {
    Http.Response first =
        Http.send(cluster.chatRequest(1, "small", false, 4).header("Idempotency-Key", "bill-1"));
    Http.Response second =
        Http.send(cluster.chatRequest(2, "small", false, 4).header("Idempotency-Key", "bill-1"));
    assertEquals(first.status(), 200, first.body());
    assertEquals(second.body(), first.body());
    assertEquals(second.header("Oatlug-Replayed"), "true");
    assertBilledOnce();
  }

  private void assertBilledOnce() throws IOException {
    Await.until(
        "all requests are billed",
        () -> billedIds(cluster.bills()).containsAll(recordedRequestIds()));
    List<JsonNode> bills = cluster.bills();
    assertEquals(billedIds(bills).size(), bills.size(), "an id is billed twice");
    // A request that no engine ran may have a bill, but it must cost nothing.
    for (JsonNode bill : bills) {
      boolean ran = recordedRequestIds().contains(bill.path("id").asText());
      assertTrue(ran || bill.path("cost").asLong() == 0, "billed, but not run: " + bill);
    }
  }

  private static TreeSet<String> billedIds(List<JsonNode> bills) {
    TreeSet<String> ids = new TreeSet<>();
    bills.forEach(bill -> ids.add(bill.path("id").asText()));
    return ids;
  }

  private TreeSet<String> recordedRequestIds() throws IOException {
    TreeSet<String> requestIds = new TreeSet<>();
    for (JsonNode record : cluster.records()) {
      requestIds.add(record.path("requestId").asText());
    }
    return requestIds;
  }
}
