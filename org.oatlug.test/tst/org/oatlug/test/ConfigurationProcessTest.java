// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.oatlug.pgm.ExitCode;
import org.oatlug.standin.TcpRelay;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Guards against accepted configuration that does not take effect at some instance, or that reverts
 * there. This comes about when the platform loses responses, skips changes or returns stale lists,
 * when instances are killed or suspended, and when a zone is isolated.
 */
public class ConfigurationProcessTest {
  private static final int INSTANCES = 5;
  private TestCluster cluster;
  private final TreeMap<String, Long> published = new TreeMap<>();
  private int versionCount;

  /** Starts the processes; the availability zones hall-a and hall-b have two instances each. */
  @BeforeClass
  public void start() throws IOException {
    cluster = TestCluster.start(INSTANCES, 3, 1);
  }

  /** Stops the processes. */
  @AfterClass(alwaysRun = true)
  public void stop() throws IOException {
    cluster.close();
  }

  /** Removes all injected faults and waits until all instances are ready. */
  @AfterMethod(alwaysRun = true)
  public void removeFaults() throws IOException {
    cluster.setFaults(cluster.platformPort, "{}");
    cluster.platformRelay(0).setMode(TcpRelay.Mode.PASS);
    cluster.setZoneIsolated(0, false);
    for (int index = 0; index < INSTANCES; index++) {
      cluster.awaitReady(index);
    }
  }

  /** Publishes a version that no test has used before and returns its name. */
  private String addVersion() {
    String name = "small-t" + versionCount++;
    ExitCode code = cluster.oatlug("version", "add", name, "small", "--cost", "7");
    assertEquals(code, ExitCode.OK, cluster.lastOutput());
    String text = cluster.lastOutput().trim();
    published.put(name, Long.parseLong(text.substring(text.lastIndexOf(' ') + 1)));
    return name;
  }

  private boolean isInForce(int index, String name) throws IOException {
    return versionAt(index, name) >= published.get(name);
  }

  private long versionAt(int index, String name) throws IOException {
    JsonNode answer =
        Http.get(cluster.operatorPort(index), "/in-force?kind=version&name=" + name).json();
    return answer.path("instances").path(TestCluster.nameOf(index)).path("number").asLong();
  }

  private void awaitInForceEverywhere(String name) {
    for (int index = 0; index < INSTANCES; index++) {
      int instance = index;
      Await.until(name + " is in force", () -> isInForce(instance, name));
    }
  }

  /** Checks that a publish whose response is lost is recognised when it is read back. */
  @Test
  public void testPublishWithLostResponseIsRecognised() throws IOException {
    cluster.setFaults(cluster.platformPort, "{\"loseReply\":1}");
    awaitInForceEverywhere(addVersion());
  }

  /**
   * Checks that no instance reverts while watches miss changes and lists are stale, and that the
   * last publish takes effect.
   */
  @Test
  public void testStaleReadsAndGapsNeverRevert() throws IOException {
    TreeMap<Integer, Long> highest = new TreeMap<>();
    String name = addVersion();
    awaitInForceEverywhere(name);
    cluster.setFaults(cluster.platformPort, "{\"gap\":2,\"staleRead\":6}");
    for (String step : new String[] {"promote", "retire"}) {
      assertEquals(cluster.oatlug("version", step, name), ExitCode.OK, cluster.lastOutput());
      for (int round = 0; round < 20; round++) {
        int index = round % INSTANCES;
        long number = versionAt(index, name);
        assertTrue(
            number >= highest.getOrDefault(index, 0L), "version reverted at instance " + index);
        highest.put(index, number);
      }
    }
    assertEquals(cluster.oatlug("version", "promote", "small-v1", "--wait"), ExitCode.OK);
  }

  /** Checks that zones still get changes after one of their two platform readers is killed. */
  @Test
  public void testKilledReadersAreReplaced() throws IOException {
    cluster.kill(0);
    cluster.kill(1);
    String name = addVersion();
    for (int index = 2; index < INSTANCES; index++) {
      int instance = index;
      Await.until(name + " is in force", () -> isInForce(instance, name));
    }
    cluster.startEntry(0);
    cluster.startEntry(1);
    cluster.awaitReady(0);
    cluster.awaitReady(1);
    awaitInForceEverywhere(name);
  }

  /** Checks that a zone without a connection to the platform gets changes from other zones. */
  @Test
  public void testZoneWithoutPlatformGetsChangesFromOtherZones() throws IOException {
    cluster.platformRelay(0).setMode(TcpRelay.Mode.CUT);
    awaitInForceEverywhere(addVersion());
  }

  /** Checks that an isolated zone continues to serve, and applies the changes once reconnected. */
  @Test
  public void testIsolatedZoneContinuesToServeAndCatchesUp() throws IOException {
    cluster.platformRelay(0).setMode(TcpRelay.Mode.CUT);
    cluster.setZoneIsolated(0, true);
    String name = addVersion();
    assertEquals(Http.send(cluster.chatRequest(0, "small", false, 2)).status(), 200);
    assertFalse(isInForce(0, name));
    cluster.platformRelay(0).setMode(TcpRelay.Mode.PASS);
    cluster.setZoneIsolated(0, false);
    awaitInForceEverywhere(name);
  }

  /** Checks that an instance that starts without the platform gets its peers' configuration. */
  @Test
  public void testNewInstanceStartsFromPeers() throws IOException {
    String name = addVersion();
    awaitInForceEverywhere(name);
    cluster.setFaults(cluster.platformPort, "{\"down\":-1}");
    cluster.kill(3);
    cluster.startEntry(3);
    cluster.awaitReady(3);
    Await.until("the configuration of the peers is in force", () -> isInForce(3, name));
    assertEquals(Http.send(cluster.chatRequest(3, "small", false, 2)).status(), 200);
  }

  /**
   * Checks that concurrent operators get a conflict instead of overwriting each other's changes.
   */
  @Test
  public void testRacingOperatorsSeeConflicts() throws IOException {
    String name = addVersion();
    List<CompletableFuture<ExitCode>> operators = new ArrayList<>();
    for (String step : new String[] {"withdraw", "promote", "retire"}) {
      operators.add(
          CompletableFuture.supplyAsync(
              () ->
                  org.oatlug.pgm.Oatlug.run(
                      new String[] {
                        "version", step, name, "--platform", "127.0.0.1:" + cluster.platformPort
                      },
                      System.out,
                      System.out)));
    }
    for (CompletableFuture<ExitCode> operator : operators) {
      ExitCode code = operator.join();
      boolean expected =
          code == ExitCode.OK || code == ExitCode.CONFLICT || code == ExitCode.INVALID;
      assertTrue(expected, code.toString());
    }
    cluster.oatlug("version", "promote", "small-v1");
    cluster.oatlug("version", "withdraw", name);
    assertEquals(cluster.oatlug("version", "promote", name), ExitCode.INVALID);
  }

  /** Checks that a session keeps its version while another version is promoted. */
  @Test(dependsOnMethods = "testRacingOperatorsSeeConflicts")
  public void testSessionKeepsItsVersion() throws IOException {
    Http.Response first = Http.send(cluster.chatRequest(0, "small", false, 1));
    String version = first.header("Oatlug-Version");
    String session = first.header("Oatlug-Session");
    String next = addVersion();
    cluster.oatlug("version", "promote", next, "--wait");
    for (int index = 0; index < INSTANCES; index++) {
      Http.Response answer =
          Http.send(
              cluster.chatRequest(index, "small", false, 1).header("Oatlug-Session", session));
      assertEquals(answer.header("Oatlug-Version"), version, answer.body());
    }
    cluster.oatlug("version", "promote", "small-v1", "--wait");
    assertEquals(version, "small-v1");
  }

  /** Checks that a named session is bound once, whichever instances its requests reach. */
  @Test(dependsOnMethods = "testSessionKeepsItsVersion")
  public void testNamedSessionIsBoundOnce() throws IOException {
    String rollout = "named";
    cluster.oatlug(
        "rollout",
        "start",
        rollout,
        "--model",
        "small",
        "--candidate",
        "small-w",
        "--weight",
        "50",
        "--wait");
    TreeSet<String> used = new TreeSet<>();
    for (int number = 0; number < 12; number++) {
      String name = "foreman-" + number;
      String version = "";
      for (int index = 0; index < INSTANCES; index++) {
        Http.Response answer =
            Http.send(cluster.chatRequest(index, "small", false, 1).header("Oatlug-Session", name));
        assertEquals(answer.status(), 200, answer.body());
        version = version.isEmpty() ? answer.header("Oatlug-Version") : version;
        assertEquals(answer.header("Oatlug-Version"), version, name);
      }
      used.add(version);
    }
    assertTrue(used.contains("small-w"), "the candidate was never used: " + used);
    cluster.oatlug("rollout", "finish", rollout, "--wait");
  }

  /**
   * Checks that an isolated zone stops assigning new sessions to a candidate once its configuration
   * is older than {@code freshnessMillis}, while the other zones continue.
   */
  @Test(dependsOnMethods = "testNamedSessionIsBoundOnce")
  public void testCutZoneStopsCandidate() throws IOException {
    cluster.oatlug(
        "rollout",
        "start",
        "cut",
        "--model",
        "small",
        "--candidate",
        "small-c",
        "--weight",
        "100",
        "--wait");
    Await.until("the candidate is used", () -> usesCandidate(0));
    cluster.platformRelay(0).setMode(TcpRelay.Mode.CUT);
    cluster.setZoneIsolated(0, true);
    Await.until("the candidate is no longer used", () -> !usesCandidate(0));
    assertTrue(usesCandidate(1), "the other zones continue to use the candidate");
    cluster.platformRelay(0).setMode(TcpRelay.Mode.PASS);
    cluster.setZoneIsolated(0, false);
    Await.until("the candidate is used again", () -> usesCandidate(0));
    cluster.oatlug("rollout", "finish", "cut", "--wait");
  }

  private boolean usesCandidate(int index) throws IOException {
    Http.Response answer = Http.send(cluster.chatRequest(index, "small", false, 1));
    return answer.header("Oatlug-Version").equals("small-c");
  }

  /**
   * Checks under load that no engine gets a request for a withdrawn version once the withdrawal is
   * in force, not even for requests queued at an instance that was suspended meanwhile.
   */
  @Test(dependsOnMethods = "testCutZoneStopsCandidate")
  public void testWithdrawnVersionGetsNoNewRequests() throws IOException {
    String next = addVersion();
    cluster.oatlug("version", "promote", next, "--wait");
    Load load = new Load();
    load.start();
    final String session =
        Http.send(cluster.chatRequest(0, "small", false, 1)).header("Oatlug-Session");
    cluster.signal(1, "STOP");
    List<CompletableFuture<Http.Response>> queued = new ArrayList<>();
    for (int number = 0; number < 30; number++) {
      queued.add(Http.sendAsync(cluster.chatRequest(1, "small", false, 1)));
    }
    cluster.oatlug("version", "promote", "small-v1");
    cluster.oatlug("version", "withdraw", next);
    cluster.oatlug("version", "withdraw", next, "--wait");
    Await.until("the version is in force at another instance", () -> isInForce(2, next));
    for (int index : new int[] {0, 2, 3, 4}) {
      Await.until(
          "the session is refused as withdrawn", () -> isRefusedAsWithdrawn(index, session));
    }
    final long before = requestsFor(next);
    cluster.signal(1, "CONT");
    for (int number = 0; number < 50; number++) {
      Http.send(cluster.chatRequest(number % INSTANCES, "small", number % 3 == 0, 1));
    }
    load.stop();
    queued.forEach(answer -> answer.handle((response, failure) -> true).join());
    assertEquals(requestsFor(next), before, "a withdrawn version got a request");
    assertTrue(isRefusedAsWithdrawn(1, session));
  }

  private boolean isRefusedAsWithdrawn(int index, String session) throws IOException {
    Http.Response answer =
        Http.send(cluster.chatRequest(index, "small", false, 1).header("Oatlug-Session", session));
    if (answer.status() == 200) {
      return false;
    }
    assertEquals(answer.reason(), "version-withdrawn", answer.body());
    assertEquals(answer.notRun(), "yes");
    return true;
  }

  private long requestsFor(String version) throws IOException {
    return cluster.records().stream()
        .filter(record -> record.path("version").asText().equals(version))
        .count();
  }

  /** Sends requests on a separate thread to all instances but the suspended one. */
  private final class Load {
    private volatile boolean running = true;
    private Thread thread;

    void start() {
      thread = new Thread(this::run, "load");
      thread.start();
    }

    private void run() {
      int number = 0;
      while (running && number < 5000) {
        try {
          Http.send(cluster.chatRequest(new int[] {0, 2, 3, 4}[number++ % 4], "small", true, 2));
        } catch (IOException e) {
          assertFalse(running && number < 0, e.getMessage());
        }
      }
    }

    void stop() {
      running = false;
      try {
        thread.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
