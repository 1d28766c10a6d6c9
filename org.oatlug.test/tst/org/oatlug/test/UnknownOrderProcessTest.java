// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.internal.util.Hashes;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * Tests that a new version gets requests only after its roll-out order is known, even if its
 * upstreams become known first.
 *
 * <p>The upstreams of a new version register as soon as its roll-out is ordered. They and the order
 * arrive through different watches of the store, 15 to 50 ms apart, and either may arrive first. An
 * instance that learned of the upstreams first, as happens at a start that reads the orders last,
 * treated both versions alike and sent half of all sessions to the new version instead of 9%.
 */
public class UnknownOrderProcessTest {
  private static final int SESSION_COUNT = 20;

  private GatewayCluster cluster;

  @AfterMethod(alwaysRun = true)
  void stop() {
    if (cluster != null) {
      cluster.close();
    }
  }

  private static JsonObject rolloutOrder() {
    return new JsonObject()
        .put("service", SampleObjects.SERVICE)
        .put("target-version", "v2")
        .put("duration-s", 600);
  }

  /** Returns sessions that a roll-out moves in its second half. */
  private static List<String> sessionsMovedLast() {
    List<String> sessions = new ArrayList<>();
    for (int number = 0; sessions.size() < SESSION_COUNT; number++) {
      String session = "session-" + number;
      long sessionHash = Integer.toUnsignedLong(session.hashCode());
      long position = Hashes.combine(sessionHash, 0) & Long.MAX_VALUE;
      if (position > Long.MAX_VALUE / 2) {
        sessions.add(session);
      }
    }
    return sessions;
  }

  private int requestCount(String name) {
    return cluster.upstreams.get(name).arrivals().size();
  }

  private int send(String session) throws IOException {
    return Http.send(cluster.streamRequest(0, session)).status();
  }

  @Test
  public void testUpstreamsOfVersionWithoutRolloutOrderGetNoRequests() throws IOException {
    cluster = GatewayCluster.start(1, 1);
    assertEquals(send("first"), 200);
    cluster.addUpstream("i-2", "v2");
    cluster.addUpstream("i-3", "v1");
    Await.until("the added upstreams are known", () -> send("x") == 200 && requestCount("i-3") > 0);
    for (String session : sessionsMovedLast()) {
      assertEquals(send(session), 200);
    }
    assertEquals(requestCount("i-2"), 0);
    cluster.store.delete("servers", "i-1");
    cluster.store.delete("servers", "i-3");
    Await.until(
        "the only remaining version answers", () -> send("x") == 200 && requestCount("i-2") > 0);
  }

  @Test
  public void testInstanceServesNoRequestBeforeItHasReadTheOrders() throws Exception {
    cluster = GatewayCluster.start(1, 2);
    cluster.store.put("rollouts", SampleObjects.SERVICE, rolloutOrder());
    cluster.register("i-2", "i-2", "v2");
    cluster.process(0).destroyForcibly().waitFor();
    final int before = requestCount("i-2");
    cluster.store.holdCalls("rollouts");
    cluster.startEntry(0);
    Await.until("the instance requests the orders", () -> cluster.store.heldCalls() > 0);
    List<CompletableFuture<Http.Response>> responses = new ArrayList<>();
    for (String session : sessionsMovedLast()) {
      responses.add(Http.sendAsync(cluster.streamRequest(0, session)));
    }
    responses.get(0).join();
    cluster.store.releaseCalls();
    for (CompletableFuture<Http.Response> response : responses) {
      int status = response.join().status();
      assertTrue(status == 200 || status == 503, "status " + status);
    }
    cluster.awaitReady(0);
    for (String session : sessionsMovedLast()) {
      assertEquals(send(session), 200);
    }
    assertEquals(requestCount("i-2"), before);
  }
}
