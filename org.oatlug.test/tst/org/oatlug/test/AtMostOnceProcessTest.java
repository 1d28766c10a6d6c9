// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Guards against an order that runs twice: when concurrent callers send the same key to several
 * instances, when the response of the service or of the platform is lost, and when an instance is
 * killed or suspended while the order is open. The service's own record of its runs decides.
 */
public class AtMostOnceProcessTest {
  private static final int INSTANCES = 3;
  private TestCluster cluster;

  /** Starts the cluster. */
  @BeforeClass
  public void start() throws IOException {
    cluster = TestCluster.start(INSTANCES, 1, 2);
  }

  /** Stops the cluster. */
  @AfterClass(alwaysRun = true)
  public void stop() throws IOException {
    cluster.close();
  }

  /** Orders with the same keys are sent to all instances concurrently. */
  @Test
  public void testRacingCallersRunOnce() throws IOException {
    List<CompletableFuture<Http.Response>> answers = new ArrayList<>();
    for (int round = 0; round < 20; round++) {
      for (int index = 0; index < INSTANCES; index++) {
        answers.add(Http.sendAsync(cluster.orderRequest(index, "race-" + round)));
      }
    }
    for (CompletableFuture<Http.Response> answer : answers) {
      int status = answer.join().status();
      assertTrue(status == 200 || status == 409, answer.join().body());
    }
    for (int round = 0; round < 20; round++) {
      String key = "race-" + round;
      Await.until(key + " succeeds", () -> Http.send(cluster.orderRequest(0, key)).status() == 200);
      assertEquals(cluster.runs().get(key), Integer.valueOf(1), key);
    }
  }

  /** An upstream runs the order and closes the connection; no instance sends it again. */
  @Test
  public void testOrderThatRanWithoutResponseIsNotRepeated() throws IOException {
    for (int port : cluster.servicePorts) {
      cluster.setFaults(port, "{\"cutAfterRun\":1}");
    }
    Http.Response first = Http.send(cluster.orderRequest(0, "cut-1"));
    assertEquals(first.notRun(), "unknown", first.body());
    for (int index = 0; index < INSTANCES; index++) {
      int instance = index;
      Await.until(
          "the order is refused as may-have-run",
          () -> Http.send(cluster.orderRequest(instance, "cut-1")).reason().equals("may-have-run"));
    }
    assertEquals(cluster.runs().get("cut-1"), Integer.valueOf(1));
    for (int port : cluster.servicePorts) {
      cluster.setFaults(port, "{}");
    }
  }

  /**
   * While the platform is unavailable, an order is refused with a Retry-After and not run; once the
   * platform is available again, the same key runs once.
   */
  @Test
  public void testUnavailablePlatformRefusesAndDoesNotRun() throws IOException {
    cluster.setFaults(cluster.platformPort, "{\"down\":-1}");
    Http.Response refused = Http.send(cluster.orderRequest(0, "away-1"));
    assertEquals(refused.reason(), "ledger-unavailable", refused.body());
    assertEquals(refused.notRun(), "yes");
    assertTrue(!refused.header("Retry-After").isEmpty());
    assertEquals(cluster.runs().get("away-1"), null);
    cluster.setFaults(cluster.platformPort, "{}");
    Await.until("runs", () -> Http.send(cluster.orderRequest(1, "away-1")).status() == 200);
    assertEquals(cluster.runs().get("away-1"), Integer.valueOf(1));
  }

  /** Responses of the platform are lost after its write to the ledger took effect. */
  @Test
  public void testLostRepliesRunOnce() throws IOException {
    for (int round = 0; round < 10; round++) {
      String key = "lost-" + round;
      cluster.setFaults(cluster.platformPort, "{\"loseReply\":1}");
      Await.until(key, () -> Http.send(cluster.orderRequest(1, key)).status() == 200);
      Await.until(key, () -> Http.send(cluster.orderRequest(2, key)).status() == 200);
      assertEquals(cluster.runs().get(key), Integer.valueOf(1), key);
    }
    cluster.setFaults(cluster.platformPort, "{}");
  }

  /** Instances are killed and suspended in turn while callers retry through the others. */
  @Test(dependsOnMethods = {"testLostRepliesRunOnce", "testRacingCallersRunOnce"})
  public void testKilledAndFrozenInstancesRunOnce() throws IOException {
    for (int round = 0; round < 6; round++) {
      int target = round % INSTANCES;
      List<CompletableFuture<Http.Response>> answers = new ArrayList<>();
      for (int index = 0; index < INSTANCES; index++) {
        for (int number = 0; number < 5; number++) {
          answers.add(Http.sendAsync(cluster.orderRequest(index, "kill-" + round + "-" + number)));
        }
      }
      boolean suspend = round % 2 == 1;
      if (suspend) {
        cluster.signal(target, "STOP");
      } else {
        cluster.kill(target);
      }
      for (int number = 0; number < 5; number++) {
        answers.add(
            Http.sendAsync(
                cluster.orderRequest((target + 1) % INSTANCES, "kill-" + round + "-" + number)));
      }
      Await.pause(1500);
      if (suspend) {
        cluster.signal(target, "CONT");
      } else {
        cluster.startEntry(target);
      }
      cluster.awaitReady(target);
      answers.forEach(answer -> answer.handle((done, failure) -> true).join());
      for (int number = 0; number < 5; number++) {
        String key = "kill-" + round + "-" + number;
        Await.until(
            key + " has a final outcome",
            () -> hasFinalOutcome(Http.send(cluster.orderRequest(target, key))));
      }
    }
    for (Map.Entry<String, Integer> run : cluster.runs().entrySet()) {
      assertEquals(run.getValue(), Integer.valueOf(1), run.getKey());
    }
  }

  private static boolean hasFinalOutcome(Http.Response answer) {
    return answer.status() == 200 || answer.reason().equals("may-have-run");
  }
}
