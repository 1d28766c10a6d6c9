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

/** Shows what planned stops, kills and leaving upstreams cost: nothing, or only what was open. */
public class StopProcessTest {
  private static final int INSTANCES = 3;
  private TestCluster cluster;

  /** Starts the processes. */
  @BeforeClass
  public void start() throws IOException {
    cluster = TestCluster.start(INSTANCES, 2, 1);
  }

  /** Ends them. */
  @AfterClass(alwaysRun = true)
  public void stop() throws IOException {
    cluster.close();
  }

  /** Long streams run through an instance that is stopped as planned, and callers keep coming. */
  @Test
  public void testPlannedStopCutsOffNoRequest() throws IOException {
    List<CompletableFuture<Http.Answer>> answers = new ArrayList<>();
    for (int number = 0; number < 6; number++) {
      answers.add(Http.sendAsync(cluster.chat(0, "small", true, 200)));
    }
    Await.until("streams run", () -> openRequests(0) >= 6 && cluster.records().size() > 0);
    cluster.signal(0, "TERM");
    while (cluster.entry(0).isAlive()) {
      for (int index = 0; index < INSTANCES; index++) {
        if (isReady(index)) {
          answers.add(Http.sendAsync(cluster.chat(index, "small", true, 3)));
        }
      }
      Await.pause(20);
    }
    assertEquals(cluster.entry(0).exitValue(), 0);
    for (CompletableFuture<Http.Answer> answer : answers) {
      Http.Answer whole = answer.join();
      assertEquals(whole.status(), 200, whole.body());
      assertTrue(whole.body().endsWith("data: [DONE]\n\n"), whole.body());
    }
    cluster.startEntry(0);
    cluster.awaitReady(0);
  }

  /** A killed instance costs only its own open requests. */
  @Test(dependsOnMethods = "testPlannedStopCutsOffNoRequest")
  public void testKilledInstanceCostsOnlyItsOwnRequests() throws IOException {
    List<CompletableFuture<Http.Answer>> others = new ArrayList<>();
    for (int number = 0; number < 6; number++) {
      others.add(Http.sendAsync(cluster.chat(1 + number % 2, "small", true, 100)));
      Http.sendAsync(cluster.chat(0, "small", true, 100));
    }
    Await.until("streams run", () -> openRequests(0) >= 6);
    cluster.kill(0);
    for (CompletableFuture<Http.Answer> answer : others) {
      assertTrue(answer.join().body().endsWith("data: [DONE]\n\n"));
    }
    cluster.startEntry(0);
    cluster.awaitReady(0);
  }

  /** An upstream that says it is leaving gets nothing new, though the published list lags. */
  @Test(dependsOnMethods = "testKilledInstanceCostsOnlyItsOwnRequests")
  public void testLeavingUpstreamGetsNothingNew() throws IOException {
    cluster.faults(cluster.enginePorts.get(0), "{\"leaving\":1}");
    for (int index = 0; index < INSTANCES; index++) {
      int instance = index;
      Await.until("leaving is known", () -> knowsLeaving(instance));
    }
    int before = Http.get(cluster.enginePorts.get(0), "/records").json().size();
    for (int number = 0; number < 60; number++) {
      Http.Answer answer = Http.send(cluster.chat(number % INSTANCES, "small", false, 1));
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

  private boolean knowsLeaving(int index) throws IOException {
    for (JsonNode row : Http.get(cluster.operatorPort(index), "/status").json().path("upstreams")) {
      if (row.path("name").asText().equals("engine-0") && row.path("leaving").asBoolean()) {
        return true;
      }
    }
    return false;
  }
}
