// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against an upload that an upstream runs with a part of its body missing: parts that did
 * not fit the heap were dropped, and the rest was sent with a length of its own. Runs a separate
 * process with the heap of a deployed instance.
 */
public class ConcurrentUploadsProcessTest {
  private static final int MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;
  private static final int BODY_BYTES = 2_200_000;
  private static final int CALLERS = 32;
  private static final int ROUNDS = 4;
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private GatewayCluster cluster;

  @BeforeMethod
  void start() throws IOException {
    JsonObject configuration = SampleObjects.configuration(1);
    configuration.getJsonObject("limits").put("max-body-bytes", MAXIMUM_BODY_BYTES);
    cluster = GatewayCluster.startManaged(configuration, new JsonObject());
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    cluster.close();
  }

  /** Returns a body that differs at each offset from that of any other number. */
  private static String body(int number) {
    StringBuilder text = new StringBuilder(BODY_BYTES + 16);
    while (text.length() < BODY_BYTES) {
      text.append(number).append('-').append(text.length()).append(' ');
    }
    return text.substring(0, BODY_BYTES);
  }

  @Test
  public void testUploadsReachUpstreamsUnchangedOrNotAtAll() throws IOException {
    Map<String, String> bodies = new TreeMap<>();
    Map<String, Integer> statuses = new TreeMap<>();
    for (int round = 0; round < ROUNDS; round++) {
      uploadAtOnce(bodies, statuses);
    }
    Set<String> run = new HashSet<>();
    for (UpstreamStandin.Arrival arrival : cluster.upstreams.get("i-1").arrivals()) {
      String id = arrival.header("Attempt-Id").orElseThrow();
      assertTrue(run.add(id), id + " runs twice");
      assertEquals(arrival.body().length(), BODY_BYTES, id);
      assertTrue(arrival.body().equals(bodies.get(id)), id + " runs with another body");
    }
    statuses.forEach(
        (id, status) -> {
          assertTrue(status == OK || status == UNAVAILABLE, id + ": " + status);
          assertEquals(run.contains(id), status == OK, id + ": " + status);
        });
    assertFalse(run.isEmpty(), "no upload was served");
    String log = Files.readString(cluster.log(0), StandardCharsets.UTF_8);
    assertFalse(log.contains("OutOfMemoryError"), "the instance ran out of memory");
  }

  private void uploadAtOnce(Map<String, String> bodies, Map<String, Integer> statuses) {
    List<CompletableFuture<Void>> uploads = new ArrayList<>();
    for (int number = 0; number < CALLERS; number++) {
      String body = body(bodies.size());
      HttpRequest.Builder request = cluster.request(0, SampleObjects.ONCE + "upload");
      String id = cluster.lastId();
      bodies.put(id, body);
      uploads.add(
          Http.sendAsync(request.POST(HttpRequest.BodyPublishers.ofString(body)))
              .thenAccept(
                  response -> {
                    synchronized (statuses) {
                      statuses.put(id, response.status());
                    }
                  }));
    }
    uploads.forEach(CompletableFuture::join);
  }
}
