// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.StoreStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * Guards against requests that are sent to an evacuated zone, also by an instance that starts
 * during the evacuation while the store is unavailable, and against more requests than an upstream
 * can take during a cold start. Runs separate processes.
 */
public class EvacuationProcessTest {
  private static final String ZONE_OF_FIRST = "hall-a";
  private static final String OTHER_ZONE = "hall-b";
  private static final int REQUESTS_PER_ROUND = 10;

  private GatewayCluster cluster;

  @AfterMethod(alwaysRun = true)
  void stop() {
    if (cluster != null) {
      cluster.close();
    }
  }

  /** Starts instances and an upstream in each of two availability zones. */
  private void start(int entries) throws IOException {
    cluster = GatewayCluster.start(entries, 2);
    register("i-2", OTHER_ZONE);
    for (int entry = 0; entry < entries; entry++) {
      int port = cluster.metricsPort(entry);
      Await.until("i-2 is known in its zone", () -> zoneOfSecond(port).equals(OTHER_ZONE));
    }
  }

  /** Returns the zone that an instance has recorded for the second upstream, empty for none. */
  private static String zoneOfSecond(int metricsPort) throws IOException {
    for (JsonNode upstream : Http.get(metricsPort, "/status").json().path("upstreams")) {
      if (upstream.path("name").asText().equals("i-2")) {
        return upstream.path("zone").asText();
      }
    }
    return "";
  }

  private void register(String name, String zone) {
    cluster.store.put("servers", name, cluster.entryOf(name).put("zone", zone));
  }

  /** Returns the output of the status command for the first instance. */
  private String status() {
    return cluster.command(0, "status");
  }

  private int send() throws IOException {
    return send(0);
  }

  private int send(int entry) throws IOException {
    return Http.send(cluster.request(entry, SampleObjects.ONCE + "x")).status();
  }

  private int arrivedAt(String name) {
    return cluster.upstreams.get(name).arrivals().size();
  }

  private void awaitNoMoreRequestsAt(int entry, String name) {
    Await.until(
        "no more requests arrive at " + name,
        () -> {
          int before = arrivedAt(name);
          for (int request = 0; request < REQUESTS_PER_ROUND; request++) {
            assertEquals(send(entry), 200);
          }
          return arrivedAt(name) == before;
        });
  }

  @Test
  public void testEvacuatedZoneGetsNoRequestsUntilEvacuationEnds() throws IOException {
    start(2);
    cluster.store.put("evacuations", ZONE_OF_FIRST, new JsonObject());
    awaitNoMoreRequestsAt(0, "i-1");
    awaitNoMoreRequestsAt(1, "i-1");
    assertTrue(status().contains("evacuated"), status());
    int before = arrivedAt("i-1");
    cluster.store.delete("evacuations", ZONE_OF_FIRST);
    Await.until("the zone gets requests again", () -> send() == 200 && arrivedAt("i-1") > before);
  }

  @Test
  public void testRequestIsRefusedAsNotRunWhenAllZonesAreEvacuated() throws IOException {
    start(1);
    cluster.store.put("evacuations", ZONE_OF_FIRST, new JsonObject());
    cluster.store.put("evacuations", OTHER_ZONE, new JsonObject().put("odd", new JsonArray()));
    Await.until("requests are refused", () -> send() == 503);
    int before = cluster.arrivals();
    Http.Response answer = Http.send(cluster.request(0, SampleObjects.ONCE + "x"));
    assertEquals(answer.reason(), "zones-emptied");
    assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
    assertEquals(cluster.arrivals(), before);
  }

  @Test
  public void testInstanceStartsWithEvacuationOfPeersWithoutStore() throws Exception {
    start(2);
    cluster.store.put("evacuations", ZONE_OF_FIRST, new JsonObject());
    awaitNoMoreRequestsAt(0, "i-1");
    cluster.store.setMode(StoreStandin.Mode.BUSY);
    cluster.process(1).destroyForcibly().waitFor();
    cluster.startEntry(1);
    cluster.awaitReady(1);
    awaitNoMoreRequestsAt(1, "i-1");
  }

  /**
   * Entries that another program writes to the store may have an unknown state or malformed fields.
   * Only the upstreams of such entries are excluded.
   */
  @Test
  public void testUpstreamWithUnknownStateIsExcludedAndOthersAreServed() throws IOException {
    start(1);
    JsonObject entry = cluster.entryOf("i-1");
    cluster.store.put("servers", "i-1", entry.copy().put("state", "asleep"));
    cluster.store.put("servers", "odd \"name\"/ü\n", new JsonObject().put("service", 7));
    awaitNoMoreRequestsAt(0, "i-1");
    int before = arrivedAt("i-1");
    cluster.store.put("servers", "i-1", entry);
    Await.until(
        "the upstream gets requests again", () -> send() == 200 && arrivedAt("i-1") > before);
  }

  @Test
  public void testSingleUpstreamInColdStartIsNotOverloaded() throws IOException {
    cluster = GatewayCluster.start(1, 1);
    JsonObject configuration = SampleObjects.configuration(2);
    configuration.getJsonArray("services").getJsonObject(0).put("cold-start-s", 3.5);
    configuration.getJsonArray("services").getJsonObject(0).put("cold-per-s", 1.0);
    cluster.store.put("config", "main", configuration);
    JsonObject entry = cluster.entryOf("i-1");
    cluster.store.put("servers", "i-1", entry.put("cold-ms", 600_000));
    Await.until(
        "requests are refused because of the cold start",
        () -> {
          Http.Response answer = Http.send(cluster.request(0, SampleObjects.ONCE + "x"));
          return answer.status() == 503 && answer.reason().equals("upstreams-cold");
        });
    cluster.store.put("servers", "i-1", entry.put("cold-ms", 0).put("born", 1_764_720_000_000L));
    cluster.store.put("servers", "i-1", entry.put("born", 1_764_720_009_000L));
    Await.until("the restarted upstream is warm", () -> send() == 200 && send() == 200);
  }
}
