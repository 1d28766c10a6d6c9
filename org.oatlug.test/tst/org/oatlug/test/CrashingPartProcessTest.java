// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpRequest;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a prompt part that crashes every upstream which begins to answer it, in requests
 * of which no two are alike, while other requests share all their other parts.
 */
public class CrashingPartProcessTest {
  private static final int ENTRIES = 3;
  private static final int UPSTREAMS = 8;
  private static final int ROUNDS = 60;
  private static final int SOUND_PER_ROUND = 3;
  private static final int SUBJECTS = 5;
  private static final String CRASHING_PART = "dead01";
  private static final long DOWN_MILLIS = 700;

  /** Time within which all instances have to know the part. */
  private static final long REPLICATION_MILLIS = 3000;

  /** Requests with the part that may reach upstreams once all instances have to know it. */
  private static final int MAXIMUM_LATE_ARRIVALS = 3;

  private GatewayCluster cluster;
  private int sentCount;

  @BeforeMethod
  void start() throws IOException {
    cluster = GatewayCluster.start(ENTRIES, UPSTREAMS);
    cluster.crashOnPart(CRASHING_PART, DOWN_MILLIS);
    sentCount = 0;
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    cluster.close();
  }

  private Http.Response sendCrashing(int entry) {
    return send(entry, CRASHING_PART);
  }

  private Http.Response sendSound(int entry) {
    return send(entry, "b" + sentCount % SUBJECTS);
  }

  private Http.Response send(int entry, String part) {
    sentCount++;
    String parts = "a1:40," + part + ":30,c" + sentCount + ":30";
    HttpRequest.Builder request = cluster.promptRequest(entry, parts);
    return Http.sendAsync(request).handle((response, failure) -> response).join();
  }

  private void sendRounds(int rounds) {
    for (int round = 0; round < rounds; round++) {
      sendCrashing(round % ENTRIES);
      for (int sound = 0; sound < SOUND_PER_ROUND; sound++) {
        sendSound((round + sound) % ENTRIES);
      }
    }
  }

  private void assertRefusedEverywhere() {
    int before = cluster.arrivalsWithPart(CRASHING_PART);
    for (int round = 0; round < ROUNDS; round++) {
      Http.Response response = sendCrashing(round % ENTRIES);
      assertEquals(response.status(), 503, "round " + round);
      assertEquals(response.notRun(), "yes");
      assertEquals(response.header("Retry-After"), "", "a repetition would be refused, too");
      for (int sound = 0; sound < SOUND_PER_ROUND; sound++) {
        assertEquals(sendSound((round + sound) % ENTRIES).status(), 200, "round " + round);
      }
    }
    int late = cluster.arrivalsWithPart(CRASHING_PART) - before;
    assertTrue(late <= MAXIMUM_LATE_ARRIVALS, late + " requests with the part reached upstreams");
  }

  @Test
  public void testNewRequestsWithCrashingPartAreRefusedAndOthersServed() {
    sendRounds(ROUNDS);
    Await.pause(REPLICATION_MILLIS);
    assertRefusedEverywhere();
  }

  /** A dropped response has no failure, though its upstream crashes a moment later. */
  @Test
  public void testPartIsFoundWhenItsResponsesAreDroppedBeforeTheCrash() {
    cluster.upstreams.values().forEach(upstream -> upstream.setConfidence("small", 0));
    cluster.upstreams.values().forEach(upstream -> upstream.setConfidence("middle", 0));
    sendRounds(ROUNDS);
    Await.pause(REPLICATION_MILLIS);
    assertRefusedEverywhere();
  }

  @Test
  public void testRestartedInstancesRefuseCrashingPart() throws Exception {
    sendRounds(ROUNDS);
    Await.pause(REPLICATION_MILLIS);
    int before = cluster.arrivalsWithPart(CRASHING_PART);
    for (int entry = 0; entry < ENTRIES; entry++) {
      cluster.process(entry).destroyForcibly().waitFor();
      cluster.startEntry(entry);
      cluster.awaitReady(entry);
      sendCrashing(entry);
      Await.pause(REPLICATION_MILLIS);
    }
    int late = cluster.arrivalsWithPart(CRASHING_PART) - before;
    assertTrue(late <= MAXIMUM_LATE_ARRIVALS, late + " requests with the part reached upstreams");
  }

  @Test
  public void testOperatorListsAndReleasesCrashingPart() throws IOException {
    sendRounds(ROUNDS);
    Await.pause(REPLICATION_MILLIS);
    JsonNode held = Http.get(cluster.metricsPort(0), "/status").json().path("heldRequests");
    assertEquals(held.size(), 1, held.toString());
    assertTrue(held.path(0).path("subject").asText().contains(CRASHING_PART), held.toString());
    String status = cluster.command(0, "status");
    assertTrue(status.contains("until it is released"), status);
    String fingerprint = held.path(0).path("fingerprint").asText();
    assertTrue(cluster.command(0, "let-run", fingerprint).contains("runs again"));
    int before = cluster.arrivalsWithPart(CRASHING_PART);
    sendCrashing(0);
    assertTrue(cluster.arrivalsWithPart(CRASHING_PART) > before, "the part was not released");
  }
}
