// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Tests that a planned stop interrupts no request, that a kill interrupts only the open requests of
 * that instance, and that an upstream that is leaving gets no new requests.
 */
public class StopProcessTest {
  private static final int INSTANCES = 3;
  private TestCluster cluster;

  /** Starts the cluster. */
  @BeforeClass
  public void start() throws IOException {
    cluster = TestCluster.start(INSTANCES, 2, 1);
  }

  /** Stops the cluster. */
  @AfterClass(alwaysRun = true)
  public void stop() throws IOException {
    cluster.close();
  }

  /** An instance gets SIGTERM while it serves long streams and new requests arrive. */
  @Test
  public void testPlannedStopCutsOffNoRequest() throws IOException {
    List<CompletableFuture<Http.Response>> answers = new ArrayList<>();
    for (int number = 0; number < 6; number++) {
      answers.add(Http.sendAsync(cluster.chatRequest(0, "small", true, 200)));
    }
    Await.until("the streams are open", () -> openRequests(0) >= 6 && cluster.records().size() > 0);
    cluster.signal(0, "TERM");
    while (cluster.entry(0).isAlive()) {
      for (int index = 0; index < INSTANCES; index++) {
        if (isReady(index)) {
          answers.add(Http.sendAsync(cluster.chatRequest(index, "small", true, 3)));
        }
      }
      Await.pause(20);
    }
    assertEquals(cluster.entry(0).exitValue(), 0);
    for (CompletableFuture<Http.Response> answer : answers) {
      Http.Response response = answer.join();
      assertEquals(response.status(), 200, response.body());
      assertTrue(response.body().endsWith("data: [DONE]\n\n"), response.body());
    }
    cluster.startEntry(0);
    cluster.awaitReady(0);
  }

  /** Killing an instance interrupts only its own open requests. */
  @Test(dependsOnMethods = "testPlannedStopCutsOffNoRequest")
  public void testKilledInstanceInterruptsOnlyItsOwnRequests() throws IOException {
    List<CompletableFuture<Http.Response>> answersOfOthers = new ArrayList<>();
    for (int number = 0; number < 6; number++) {
      answersOfOthers.add(Http.sendAsync(cluster.chatRequest(1 + number % 2, "small", true, 100)));
      Http.sendAsync(cluster.chatRequest(0, "small", true, 100));
    }
    Await.until("the streams are open", () -> openRequests(0) >= 6);
    cluster.kill(0);
    for (CompletableFuture<Http.Response> answer : answersOfOthers) {
      assertTrue(answer.join().body().endsWith("data: [DONE]\n\n"));
    }
    cluster.startEntry(0);
    cluster.awaitReady(0);
  }

  /** An upstream that reports leaving gets no new requests, although its published object lags. */
  @Test(dependsOnMethods = "testKilledInstanceInterruptsOnlyItsOwnRequests")
  public void testLeavingUpstreamGetsNoNewRequests() throws IOException {
    cluster.setFaults(cluster.enginePorts.get(0), "{\"leaving\":1}");
    for (int index = 0; index < INSTANCES; index++) {
      int instance = index;
      Await.until(
          "the instance knows that the upstream is leaving", () -> reportsLeaving(instance));
    }
    int before = Http.get(cluster.enginePorts.get(0), "/records").json().size();
    for (int number = 0; number < 60; number++) {
      Http.Response answer = Http.send(cluster.chatRequest(number % INSTANCES, "small", false, 1));
      assertEquals(answer.status(), 200, answer.body());
    }
    assertEquals(Http.get(cluster.enginePorts.get(0), "/records").json().size(), before);
  }

  private boolean isReady(int index) {
    try {
      return Http.get(cluster.operatorPort(index), "/readyz").status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private int openRequests(int index) throws IOException {
    return Http.get(cluster.operatorPort(index), "/status").json().path("openRequests").asInt();
  }

  private boolean reportsLeaving(int index) throws IOException {
    for (JsonNode upstream :
        Http.get(cluster.operatorPort(index), "/status").json().path("upstreams")) {
      if (upstream.path("name").asText().equals("engine-0")
          && upstream.path("leaving").asBoolean()) {
        return true;
      }
    }
    return false;
  }
}
