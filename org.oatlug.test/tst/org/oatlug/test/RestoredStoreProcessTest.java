// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.List;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.StoreStandin;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * Runs separate processes and checks that no configuration is lost or reverts when the store is
 * restored from a copy.
 */
public class RestoredStoreProcessTest {
  private static final int INSTANCES = 3;

  /**
   * Exceeds the number of writes that any test makes after the restore, so that the revision
   * numbers of these writes stay below those that the instances have already read.
   */
  private static final int WRITES_AFTER_COPY = 200;

  private static final String FIRST = "/first/";
  private static final String SECOND = "/second/";

  private GatewayCluster cluster;

  @AfterMethod(alwaysRun = true)
  void stop() {
    if (cluster != null) {
      cluster.close();
    }
  }

  /** Returns the sample configuration with an additional route for each path prefix. */
  private static JsonObject configuration(long version, String... prefixes) {
    JsonObject configuration = SampleObjects.configuration(version);
    JsonObject sampleRoute = configuration.getJsonArray("routes").getJsonObject(0);
    for (String prefix : prefixes) {
      JsonObject route = sampleRoute.copy().put("name", prefix).put("path-prefix", prefix);
      configuration.getJsonArray("routes").add(route);
    }
    return configuration;
  }

  private int status(int entry, String path) throws IOException {
    return Http.send(cluster.request(entry, path + "x")).status();
  }

  private void awaitStatusEverywhere(String path, int status) {
    for (int entry = 0; entry < INSTANCES; entry++) {
      int instance = entry;
      Await.until(
          path + " has the expected status at entry-" + entry,
          () -> status(instance, path) == status);
    }
  }

  /** Starts instances, copies the store, then publishes a route that the copy lacks. */
  private StoreStandin.Copy startAndCopy() throws IOException {
    cluster = GatewayCluster.start(INSTANCES, 1);
    cluster.store.put("config", "main", configuration(5));
    final StoreStandin.Copy copy = cluster.store.copy();
    for (int number = 0; number < WRITES_AFTER_COPY; number++) {
      cluster.store.put("servers", "i-1", cluster.entryOf("i-1").put("sequence", 2 + number));
    }
    cluster.store.put("config", "main", configuration(7, FIRST));
    awaitStatusEverywhere(FIRST, 200);
    return copy;
  }

  private void rewriteConfiguration() {
    cluster.store.put("config", "main", configuration(7, FIRST));
    cluster.store.put("config", "main", configuration(9, FIRST, SECOND));
  }

  @Test
  public void testConfigurationWrittenAfterRestoreTakesEffectEverywhere() throws IOException {
    StoreStandin.Copy copy = startAndCopy();
    cluster.store.restore(copy);
    rewriteConfiguration();
    awaitStatusEverywhere(SECOND, 200);
    awaitStatusEverywhere(FIRST, 200);
  }

  @Test
  public void testConfigurationWrittenAfterOutageAndRestoreTakesEffectEverywhere()
      throws IOException {
    StoreStandin.Copy copy = startAndCopy();
    cluster.store.setMode(StoreStandin.Mode.RESET);
    Await.pause(1000);
    cluster.store.restore(copy);
    cluster.store.setMode(StoreStandin.Mode.UP);
    rewriteConfiguration();
    awaitStatusEverywhere(SECOND, 200);
    awaitStatusEverywhere(FIRST, 200);
  }

  @Test
  public void testRevokedKeyStaysRefusedAfterRestore() throws Exception {
    final StoreStandin.Copy copy = startAndCopy();
    JsonObject revoked = configuration(8, FIRST);
    revoked.getJsonArray("tenants").getJsonObject(0).put("api-keys", new JsonArray());
    cluster.store.put("config", "main", revoked);
    awaitStatusEverywhere(FIRST, 401);
    cluster.store.restore(copy);
    cluster.process(2).destroyForcibly().waitFor();
    cluster.startEntry(2);
    cluster.awaitReady(2);
    for (int entry = 0; entry < INSTANCES; entry++) {
      assertEquals(status(entry, FIRST), 401, "entry-" + entry);
    }
  }

  private int countArrivalsOfStreams(UpstreamStandin upstream) throws IOException {
    int before = upstream.arrivals().size();
    for (int round = 0; round < 20; round++) {
      Http.send(cluster.streamRequest(round % INSTANCES, "z" + round));
    }
    return upstream.arrivals().size() - before;
  }

  @Test
  public void testRolledBackVersionGetsNoRequestsAfterRestore() throws Exception {
    cluster = GatewayCluster.start(INSTANCES, 2);
    UpstreamStandin failing = cluster.addUpstream("n-1", "v2");
    failing.setBehaviour(UpstreamStandin.Behaviour.FAILS);
    cluster.store.put("rollouts", SampleObjects.SERVICE, SampleObjects.rollout("v2", 60));
    Await.until("the roll-out is running", () -> cluster.rolloutState().equals("running"));
    final StoreStandin.Copy copy = cluster.store.copy();
    cluster.streamUntilRolloutIs("rolled_back");
    cluster.store.restore(copy);
    cluster.store.put("rollouts", SampleObjects.SERVICE, SampleObjects.rollout("v2", 60));
    assertEquals(countArrivalsOfStreams(failing), 0);
    Await.until("the state is written again", () -> cluster.rolloutState().equals("rolled_back"));
    assertEquals(countArrivalsOfStreams(failing), 0);
    cluster.process(2).destroyForcibly().waitFor();
    cluster.startEntry(2);
    cluster.awaitReady(2);
    assertEquals(countArrivalsOfStreams(failing), 0);
  }

  @Test
  public void testSucceededRolloutStaysAfterRestoreWithoutIt() throws Exception {
    cluster = GatewayCluster.start(INSTANCES, 2);
    cluster.addUpstream("n-1", "v2");
    cluster.addUpstream("n-2", "v2");
    final StoreStandin.Copy copy = cluster.store.copy();
    cluster.store.put("rollouts", SampleObjects.SERVICE, SampleObjects.rollout("v2", 4));
    cluster.streamUntilRolloutIs("succeeded");
    cluster.store.restore(copy);
    assertEquals(countArrivalsOfStreams(cluster.upstreams.get("i-1")), 0);
    cluster.store.put("rollouts", SampleObjects.SERVICE, SampleObjects.rollout("v2", 4));
    Await.until("the state is written again", () -> cluster.rolloutState().equals("succeeded"));
    assertEquals(countArrivalsOfStreams(cluster.upstreams.get("i-1")), 0);
  }

  @Test
  public void testStatusShowsEpochAndRetainedEntries() throws IOException {
    final StoreStandin.Copy copy = startAndCopy();
    cluster.store.put("servers", "i-1", cluster.entryOf("i-1").put("sequence", 900));
    Await.until("the route is served", () -> status(0, FIRST) == 200);
    cluster.store.restore(copy);
    Await.until(
        "the status shows the epoch", () -> cluster.command(0, "status").contains("epoch 2"));
    Await.until(
        "the status shows the retained entry",
        () -> cluster.command(0, "status").contains("retained: upstream/i-1"));
  }

  @Test
  public void testInstanceStartedAfterRestoreServesConfigurationOfPeers() throws Exception {
    final StoreStandin.Copy copy = startAndCopy();
    cluster.store.restore(copy);
    for (int round = 0; round < 3; round++) {
      cluster.process(2).destroyForcibly().waitFor();
      cluster.startEntry(2);
      cluster.awaitReady(2);
      for (int entry : List.of(2, 0, 1)) {
        assertEquals(status(entry, FIRST), 200, "entry-" + entry);
      }
    }
  }
}
