// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.StoreStandin;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.oatlug.adapter.standin.UpstreamStandin.Behaviour;
import org.oatlug.pgm.Oatlug;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * Runs separate processes and checks that instances follow the store through outages, compaction
 * and stale lists, roll versions out and back, and start and stop without losing responses.
 */
public class GatewayStateProcessTest {
  private GatewayCluster cluster;

  @AfterMethod(alwaysRun = true)
  void stop() {
    if (cluster != null) {
      cluster.close();
    }
  }

  private int status(int entry) throws IOException {
    return Http.send(cluster.request(entry, SampleObjects.ONCE + "x")).status();
  }

  private static JsonObject configurationWithoutKeys(long version) {
    JsonObject configuration = SampleObjects.configuration(version);
    configuration.getJsonArray("tenants").getJsonObject(0).put("api-keys", new JsonArray());
    return configuration;
  }

  @Test
  public void testRevokedKeyIsRefusedByAllInstances() throws IOException {
    cluster = GatewayCluster.start(3, 1);
    assertEquals(status(0), 200);
    cluster.store.put("config", "main", configurationWithoutKeys(2));
    for (int entry = 0; entry < 3; entry++) {
      int instance = entry;
      Await.until("the key is refused", () -> status(instance) == 401);
    }
  }

  @Test
  public void testInstanceWithoutConfigurationAnswersRetryAfter() throws IOException {
    cluster = GatewayCluster.startEmpty(1);
    Await.until(
        "the instance listens", () -> Http.get(cluster.readinessPort(0), "/").status() == 503);
    Http.Response answer = Http.send(cluster.request(0, SampleObjects.ONCE + "x"));
    assertEquals(answer.status(), 503);
    assertEquals(answer.reason(), "not-ready");
    assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
  }

  @Test
  public void testInstanceStartsFromPeersWhileStoreIsUnavailable() throws Exception {
    cluster = GatewayCluster.start(2, 1);
    for (StoreStandin.Mode mode : List.of(StoreStandin.Mode.SILENT, StoreStandin.Mode.BUSY)) {
      cluster.store.setMode(mode);
      cluster.process(1).destroyForcibly().waitFor();
      cluster.startEntry(1);
      cluster.awaitReady(1);
      assertEquals(status(1), 200);
    }
  }

  @Test
  public void testCompactedHistoryIsReadAgainPageByPage() throws IOException {
    cluster = GatewayCluster.start(1, 1);
    cluster.store.setPageSize(2);
    for (int number = 2; number < 7; number++) {
      cluster.addUpstream("i-" + number, "v1");
    }
    cluster.store.delete("servers", "i-1");
    cluster.store.compact();
    for (int number = 2; number < 7; number++) {
      UpstreamStandin upstream = cluster.upstreams.get("i-" + number);
      Await.until(
          "every upstream gets requests", () -> status(0) == 200 && !upstream.arrivals().isEmpty());
    }
    int before = cluster.upstreams.get("i-1").arrivals().size();
    for (int round = 0; round < 20; round++) {
      assertEquals(status(0), 200);
    }
    assertEquals(cluster.upstreams.get("i-1").arrivals().size(), before);
  }

  @Test
  public void testUpstreamDeletedDuringWatchGapIsExcluded() throws IOException {
    cluster = GatewayCluster.start(1, 2);
    cluster.store.deleteWithoutNotification("servers", "i-1");
    cluster.store.compact();
    awaitNoMoreRequests(cluster.upstreams.get("i-1"));
  }

  private void awaitNoMoreRequests(UpstreamStandin removed) {
    Await.until(
        "the upstream gets no more requests",
        () -> {
          int before = removed.arrivals().size();
          for (int round = 0; round < 10; round++) {
            status(0);
          }
          return removed.arrivals().size() == before;
        });
  }

  @Test
  public void testStaleListRestoresNoDeletedUpstream() throws IOException {
    cluster = GatewayCluster.start(1, 2);
    cluster.store.freezeList("servers");
    cluster.store.delete("servers", "i-1");
    awaitNoMoreRequests(cluster.upstreams.get("i-1"));
    cluster.store.compact();
    Await.until(
        "the stale list is read",
        () -> Files.readString(cluster.log(0)).contains("from the platform failed at revision"));
    int before = cluster.upstreams.get("i-1").arrivals().size();
    for (int round = 0; round < 20; round++) {
      assertEquals(status(0), 200);
    }
    assertEquals(cluster.upstreams.get("i-1").arrivals().size(), before);
    cluster.store.unfreezeLists();
    UpstreamStandin third = cluster.addUpstream("i-3", "v1");
    Await.until("a new list is read", () -> status(0) == 200 && !third.arrivals().isEmpty());
  }

  @Test
  public void testSecondRolloutOfVersionIsEvaluatedAgain() throws IOException {
    cluster = GatewayCluster.start(2, 2);
    UpstreamStandin candidate = cluster.addUpstream("n-1", "v2");
    candidate.setBehaviour(Behaviour.FAILS);
    cluster.store.put("rollouts", SampleObjects.SERVICE, rolloutOfV2(30));
    cluster.streamUntilRolloutIs("rolled_back");
    cluster.store.delete("rollouts", SampleObjects.SERVICE);
    candidate.setBehaviour(Behaviour.NORMAL);
    cluster.store.put("rollouts", SampleObjects.SERVICE, rolloutOfV2(10));
    cluster.streamUntilRolloutIs("succeeded");
  }

  @Test
  public void testDrainingUpstreamCompletesOpenStreamsAndGetsNoNewRequests() throws Exception {
    cluster = GatewayCluster.start(1, 2);
    UpstreamStandin draining = cluster.upstreams.get("i-1");
    draining.setStream(30, 20, 99);
    cluster.upstreams.get("i-2").setStream(30, 20, 99);
    List<CompletableFuture<Http.Response>> open = new ArrayList<>();
    for (int number = 0; number < 6; number++) {
      open.add(Http.sendAsync(cluster.streamRequest(0, "s" + number)));
    }
    Await.until("streams are open", () -> cluster.arrivals() == 6);
    JsonObject entry = SampleObjects.upstream(SampleObjects.SERVICE, "127.0.0.1", 1, "v1");
    cluster.store.put("servers", "i-1", entry.put("state", "draining"));
    for (CompletableFuture<Http.Response> answer : open) {
      assertEquals(answer.get(20, TimeUnit.SECONDS).status(), 200);
    }
    int before = draining.arrivals().size();
    for (int round = 0; round < 5; round++) {
      assertEquals(status(0), 200);
    }
    assertEquals(draining.arrivals().size(), before);
  }

  @Test
  public void testGracefulStopUnderLoadLosesNoResponse() throws Exception {
    cluster = GatewayCluster.start(1, 2);
    cluster.upstreams.values().forEach(upstream -> upstream.setStream(20, 40, 99));
    List<CompletableFuture<Http.Response>> open = new ArrayList<>();
    for (int number = 0; number < 10; number++) {
      open.add(Http.sendAsync(cluster.streamRequest(0, "s" + number)));
    }
    Await.until("streams are open", () -> cluster.arrivals() == 10);
    cluster.signal(0, "TERM");
    Await.until(
        "the instance is not ready", () -> Http.get(cluster.readinessPort(0), "/").status() == 503);
    Http.Response lateAnswer = Http.send(cluster.request(0, SampleObjects.ONCE + "late"));
    assertEquals(lateAnswer.status(), 200);
    assertEquals(lateAnswer.header("Connection"), "close");
    for (CompletableFuture<Http.Response> answer : open) {
      assertEquals(answer.get(20, TimeUnit.SECONDS).status(), 200);
    }
    assertTrue(cluster.process(0).waitFor(20, TimeUnit.SECONDS));
    assertEquals(cluster.process(0).exitValue(), 0);
  }

  @Test
  public void testHangUpSignalReloadsSettingsAndRejectsInvalidOnes() throws Exception {
    cluster = GatewayCluster.start(1, 1);
    cluster.signal(0, "HUP");
    Await.until(
        "the settings are reloaded",
        () -> Files.readString(cluster.log(0)).contains("settings reloaded"));
    Files.writeString(cluster.settingsFile(0), "{}");
    Await.until(
        "the settings are rejected",
        () -> Files.readString(cluster.log(0)).contains("changed settings are rejected"));
    assertEquals(status(0), 200);
  }

  @Test
  public void testRequestOfDisconnectedCallerIsCancelledAtUpstream() throws IOException {
    cluster = GatewayCluster.start(1, 1);
    UpstreamStandin upstream = cluster.upstreams.get("i-1");
    upstream.setStream(1000, 20, 2000);
    CompletableFuture<Http.Response> answer = Http.sendAsync(cluster.streamRequest(0, "one"));
    Await.until("the stream is open", () -> upstream.arrivals().size() == 1);
    answer.cancel(true);
    Await.until("the request is cancelled", () -> upstream.cancelled() == 1);
  }

  @Test
  public void testExplainCommandShowsTargetsOfRequest() throws IOException {
    cluster = GatewayCluster.start(1, 2);
    assertEquals(Http.send(cluster.streamRequest(0, "one")).status(), 200);
    JsonObject entry = SampleObjects.upstream(SampleObjects.SERVICE, "127.0.0.1", 1, "v1");
    cluster.store.put("servers", "i-1", entry.put("state", "draining"));
    String instance = "127.0.0.1:" + cluster.metricsPort(0);
    Await.until(
        "i-1 is excluded",
        () -> explain(instance, SampleObjects.STREAM).contains("\"costMillis\" : null"));
    String text = explain(instance, SampleObjects.STREAM);
    assertTrue(text.contains("\"name\" : \"i-2\""), text);
    assertTrue(text.contains("\"leastConfidence\""), text);
    assertFalse(explain(instance, "/no/").contains("targets"));
  }

  private static String explain(String instance, String path) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    String[] arguments = {
      "explain",
      "--host",
      SampleObjects.HOST,
      "--path",
      path,
      "--instance",
      instance,
      "--output",
      "json"
    };
    Oatlug.run(arguments, new PrintStream(out), System.err);
    return out.toString(StandardCharsets.UTF_8);
  }

  @Test
  public void testHealthyVersionReplacesPreviousOne() throws IOException {
    cluster = GatewayCluster.start(2, 2);
    cluster.addUpstream("n-1", "v2");
    cluster.addUpstream("n-2", "v2");
    cluster.store.put("rollouts", SampleObjects.SERVICE, rolloutOfV2(4));
    cluster.streamUntilRolloutIs("succeeded");
    int before = cluster.upstreams.get("i-1").arrivals().size();
    for (int round = 0; round < 5; round++) {
      assertEquals(status(round % 2), 200);
    }
    assertEquals(cluster.upstreams.get("i-1").arrivals().size(), before);
  }

  @Test
  public void testFailingVersionIsRolledBackThoughWriteResponseIsLost() throws IOException {
    cluster = GatewayCluster.start(2, 2);
    cluster.addUpstream("n-1", "v2").setBehaviour(Behaviour.FAILS);
    cluster.addUpstream("n-2", "v2").setBehaviour(Behaviour.FAILS);
    cluster.store.put("rollouts", SampleObjects.SERVICE, rolloutOfV2(30));
    Await.until("the roll-out is running", () -> cluster.rolloutState().equals("running"));
    cluster.store.dropWriteResponses(1);
    cluster.streamUntilRolloutIs("rolled_back");
    int failingArrivals =
        cluster.upstreams.get("n-1").arrivals().size()
            + cluster.upstreams.get("n-2").arrivals().size();
    assertTrue(failingArrivals < 60, "the failing version got " + failingArrivals + " requests");
    for (int round = 0; round < 20; round++) {
      assertEquals(Http.send(cluster.streamRequest(round % 2, "z" + round)).status(), 200);
    }
    int failingArrivalsAfterRollback =
        cluster.upstreams.get("n-1").arrivals().size()
            + cluster.upstreams.get("n-2").arrivals().size();
    assertEquals(failingArrivalsAfterRollback, failingArrivals);
  }

  private static JsonObject rolloutOfV2(int durationSeconds) {
    return new JsonObject()
        .put("service", SampleObjects.SERVICE)
        .put("target-version", "v2")
        .put("duration-s", durationSeconds);
  }
}
