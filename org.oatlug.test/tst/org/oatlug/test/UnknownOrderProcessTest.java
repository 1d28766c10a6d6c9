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
 * A version is brought in by an order only, also where the order is learned after the upstreams.
 *
 * <p>The upstreams of a new version register as soon as it is ordered, and another watch of the
 * store brings them than the one that brings the order. An instance that knew of the upstreams
 * first, or that had started and read the orders last, treated both versions alike and sent half of
 * all sessions to the new one, not nine of 100. On a deployment the entries came 50 ms after the
 * order ("roll-out of ... to=v2" at 2.239 s, "upstream ... version=v2" at 2.289 s), and instances
 * that started knew of the upstreams 15 and 36 ms before the order.
 */
public class UnknownOrderProcessTest {
  private static final int SESSIONS = 20;

  private GatewayCluster cluster;

  @AfterMethod(alwaysRun = true)
  void stop() {
    if (cluster != null) {
      cluster.close();
    }
  }

  private static JsonObject order() {
    return new JsonObject()
        .put("service", SampleObjects.SERVICE)
        .put("target-version", "v2")
        .put("duration-s", 600);
  }

  /** Returns sessions that a roll-out moves last. */
  private static List<String> sessionsThatMoveLate() {
    List<String> found = new ArrayList<>();
    for (int number = 0; found.size() < SESSIONS; number++) {
      String session = "session-" + number;
      long part = Integer.toUnsignedLong(session.hashCode());
      long position = Hashes.combine(part, 0) & Long.MAX_VALUE;
      if (position > Long.MAX_VALUE / 2) {
        found.add(session);
      }
    }
    return found;
  }

  private int arrivedAt(String name) {
    return cluster.upstreams.get(name).arrivals().size();
  }

  private int send(String session) throws IOException {
    return Http.send(cluster.streamRequest(0, session)).status();
  }

  @Test
  public void testUpstreamsOfVersionThatNobodyOrderedGetNothing() throws IOException {
    cluster = GatewayCluster.start(1, 1);
    assertEquals(send("first"), 200);
    cluster.addUpstream("i-2", "v2");
    cluster.addUpstream("i-3", "v1");
    Await.until("the later ones are known", () -> send("x") == 200 && arrivedAt("i-3") > 0);
    for (String session : sessionsThatMoveLate()) {
      assertEquals(send(session), 200);
    }
    assertEquals(arrivedAt("i-2"), 0);
    cluster.store.delete("servers", "i-1");
    cluster.store.delete("servers", "i-3");
    Await.until(
        "the only version that is left answers", () -> send("x") == 200 && arrivedAt("i-2") > 0);
  }

  @Test
  public void testInstanceThatHasNotReadTheOrdersServesNobody() throws Exception {
    cluster = GatewayCluster.start(1, 2);
    cluster.store.put("rollouts", SampleObjects.SERVICE, order());
    cluster.register("i-2", "i-2", "v2");
    cluster.process(0).destroyForcibly().waitFor();
    final int before = arrivedAt("i-2");
    cluster.store.holdCalls("rollouts");
    cluster.startEntry(0);
    Await.until("the orders are asked for", () -> cluster.store.heldCalls() > 0);
    List<CompletableFuture<Http.Answer>> sent = new ArrayList<>();
    for (String session : sessionsThatMoveLate()) {
      sent.add(Http.sendAsync(cluster.streamRequest(0, session)));
    }
    sent.get(0).join();
    cluster.store.releaseCalls();
    for (CompletableFuture<Http.Answer> one : sent) {
      int status = one.join().status();
      assertTrue(status == 200 || status == 503, "status " + status);
    }
    cluster.awaitReady(0);
    for (String session : sessionsThatMoveLate()) {
      assertEquals(send(session), 200);
    }
    assertEquals(arrivedAt("i-2"), before);
  }
}
