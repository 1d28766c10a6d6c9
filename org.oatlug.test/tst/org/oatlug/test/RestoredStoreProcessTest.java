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

/** Shows with processes that no configuration is lost or reverts when the store is restored. */
public class RestoredStoreProcessTest {
  private static final int INSTANCES = 3;

  /** More writes than any test makes after the restore. */
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

  /** Returns a configuration with routes of its own beside the usual ones. */
  private static JsonObject configuration(long version, String... prefixes) {
    JsonObject configuration = SampleObjects.configuration(version);
    JsonObject usual = configuration.getJsonArray("routes").getJsonObject(0);
    for (String prefix : prefixes) {
      JsonObject route = usual.copy().put("name", prefix).put("path-prefix", prefix);
      configuration.getJsonArray("routes").add(route);
    }
    return configuration;
  }

  private int status(int entry, String path) throws IOException {
    return Http.send(cluster.request(entry, path + "x")).status();
  }

  private void awaitAtAll(String path, int status) {
    for (int entry = 0; entry < INSTANCES; entry++) {
      int one = entry;
      Await.until(path + " at entry-" + entry, () -> status(one, path) == status);
    }
  }

  /** Starts instances, takes a copy, and lets them serve a route that the copy lacks. */
  private StoreStandin.Copy startAndCopy() throws IOException {
    cluster = GatewayCluster.start(INSTANCES, 1);
    cluster.store.put("config", "main", configuration(5));
    final StoreStandin.Copy copy = cluster.store.copy();
    for (int number = 0; number < WRITES_AFTER_COPY; number++) {
      cluster.store.put("servers", "i-1", cluster.entryOf("i-1").put("sequence", 2 + number));
    }
    cluster.store.put("config", "main", configuration(7, FIRST));
    awaitAtAll(FIRST, 200);
    return copy;
  }

  private void rewriteConfiguration() {
    cluster.store.put("config", "main", configuration(7, FIRST));
    cluster.store.put("config", "main", configuration(9, FIRST, SECOND));
  }

  @Test
  public void testConfigurationWrittenAfterRestoreIsInForceEverywhere() throws IOException {
    StoreStandin.Copy copy = startAndCopy();
    cluster.store.restore(copy);
    rewriteConfiguration();
    awaitAtAll(SECOND, 200);
    awaitAtAll(FIRST, 200);
  }

  @Test
  public void testConfigurationWrittenAfterOutageAndRestoreIsInForceEverywhere()
      throws IOException {
    StoreStandin.Copy copy = startAndCopy();
    cluster.store.setMode(StoreStandin.Mode.RESET);
    Await.pause(1000);
    cluster.store.restore(copy);
    cluster.store.setMode(StoreStandin.Mode.UP);
    rewriteConfiguration();
    awaitAtAll(SECOND, 200);
    awaitAtAll(FIRST, 200);
  }

  @Test
  public void testRevokedKeyStaysRefusedOnTheCopy() throws Exception {
    final StoreStandin.Copy copy = startAndCopy();
    JsonObject revoked = configuration(8, FIRST);
    revoked.getJsonArray("tenants").getJsonObject(0).put("api-keys", new JsonArray());
    cluster.store.put("config", "main", revoked);
    awaitAtAll(FIRST, 401);
    cluster.store.restore(copy);
    cluster.process(2).destroyForcibly().waitFor();
    cluster.startEntry(2);
    cluster.awaitReady(2);
    for (int entry = 0; entry < INSTANCES; entry++) {
      assertEquals(status(entry, FIRST), 401, "entry-" + entry);
    }
  }

  private int arrivedAfterRounds(UpstreamStandin upstream) throws IOException {
    int before = upstream.arrivals().size();
    for (int round = 0; round < 20; round++) {
      Http.send(cluster.streamRequest(round % INSTANCES, "z" + round));
    }
    return upstream.arrivals().size() - before;
  }

  @Test
  public void testVersionThatWasRolledBackGetsNothingOnTheCopy() throws Exception {
    cluster = GatewayCluster.start(INSTANCES, 2);
    UpstreamStandin bad = cluster.addUpstream("n-1", "v2");
    bad.setBehaviour(UpstreamStandin.Behaviour.FAILS);
    cluster.store.put("rollouts", SampleObjects.SERVICE, SampleObjects.rollout("v2", 60));
    Await.until("begun", () -> cluster.rolloutState().equals("running"));
    final StoreStandin.Copy copy = cluster.store.copy();
    cluster.streamUntilRolloutIs("rolled_back");
    cluster.store.restore(copy);
    cluster.store.put("rollouts", SampleObjects.SERVICE, SampleObjects.rollout("v2", 60));
    assertEquals(arrivedAfterRounds(bad), 0);
    Await.until("written again", () -> cluster.rolloutState().equals("rolled_back"));
    assertEquals(arrivedAfterRounds(bad), 0);
    cluster.process(2).destroyForcibly().waitFor();
    cluster.startEntry(2);
    cluster.awaitReady(2);
    assertEquals(arrivedAfterRounds(bad), 0);
  }

  @Test
  public void testVersionThatTookOverStaysOnTheCopyThatLacksItsOrder() throws Exception {
    cluster = GatewayCluster.start(INSTANCES, 2);
    cluster.addUpstream("n-1", "v2");
    cluster.addUpstream("n-2", "v2");
    final StoreStandin.Copy copy = cluster.store.copy();
    cluster.store.put("rollouts", SampleObjects.SERVICE, SampleObjects.rollout("v2", 4));
    cluster.streamUntilRolloutIs("succeeded");
    cluster.store.restore(copy);
    assertEquals(arrivedAfterRounds(cluster.upstreams.get("i-1")), 0);
    cluster.store.put("rollouts", SampleObjects.SERVICE, SampleObjects.rollout("v2", 4));
    Await.until("written again", () -> cluster.rolloutState().equals("succeeded"));
    assertEquals(arrivedAfterRounds(cluster.upstreams.get("i-1")), 0);
  }

  @Test
  public void testOperatorSeesTheEpochAndWhatIsRetained() throws IOException {
    final StoreStandin.Copy copy = startAndCopy();
    cluster.store.put("servers", "i-1", cluster.entryOf("i-1").put("sequence", 900));
    Await.until("known", () -> status(0, FIRST) == 200);
    cluster.store.restore(copy);
    Await.until("the epoch", () -> cluster.command(0, "status").contains("epoch 2"));
    Await.until(
        "what is retained", () -> cluster.command(0, "status").contains("retained: upstream/i-1"));
  }

  @Test
  public void testInstanceThatStartsOnTheCopyServesWhatOthersKnow() throws Exception {
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
