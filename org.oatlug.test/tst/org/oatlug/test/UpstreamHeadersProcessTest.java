// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.oatlug.adapter.standin.UpstreamStandin.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests to an upstream whose response announced that it is draining, or asked
 * callers to back off. Such upstreams still got requests 4.2 and 4.9 s after a response that the
 * instance itself had forwarded while the store was unavailable, and 40 requests within a back-off
 * of three seconds.
 *
 * <p>The failure comes about when what a response announced is known only to the attempt that
 * received it: one instance then logged {@code refused by upstream status=503} 57 times for one
 * upstream.
 */
public class UpstreamHeadersProcessTest {
  /**
   * Bounds the attempts until an upstream is selected. Upstreams of equal cost are selected at
   * random, so the probability that one is never selected is negligible.
   */
  private static final int ROUNDS = 60;

  private GatewayCluster cluster;
  private UpstreamStandin first;
  private UpstreamStandin second;

  @BeforeMethod
  void start() throws IOException {
    cluster = GatewayCluster.start(1, 2);
    first = cluster.upstreams.get("i-1");
    second = cluster.upstreams.get("i-2");
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    cluster.close();
  }

  private Http.Response send(String path) throws IOException {
    return Http.send(cluster.request(0, path));
  }

  /** Sends requests until an upstream gets one. */
  private void sendUntilReceived(UpstreamStandin upstream) throws IOException {
    assertTrue(receivesRequest(upstream), upstream.name() + " never got a request");
  }

  private boolean receivesRequest(UpstreamStandin upstream) throws IOException {
    int before = upstream.arrivals().size();
    for (int round = 0; round < ROUNDS && upstream.arrivals().size() == before; round++) {
      send(SampleObjects.REPEATABLE + round);
    }
    return upstream.arrivals().size() > before;
  }

  private int arrivalsOf(UpstreamStandin upstream, String path) throws IOException {
    int before = upstream.arrivals().size();
    for (int round = 0; round < ROUNDS; round++) {
      assertEquals(send(path + round).status(), 200, "round " + round);
    }
    return upstream.arrivals().size() - before;
  }

  @DataProvider
  Object[][] answers() {
    return new Object[][] {
      {Behaviour.NORMAL},
      {Behaviour.REFUSES},
      {Behaviour.FAILS},
      {Behaviour.RESPONDS_TO_ANOTHER_REQUEST}
    };
  }

  @Test(dataProvider = "answers")
  public void testUpstreamThatAnnouncesDrainingGetsNoNewRequests(Behaviour behaviour)
      throws IOException {
    first.setBehaviour(behaviour);
    first.setReportsLeaving(true);
    sendUntilReceived(first);
    assertEquals(
        arrivalsOf(first, SampleObjects.REPEATABLE),
        0,
        "a draining upstream got requests; its entry in the store still says ready");
  }

  @Test
  public void testStreamAnnouncesThatItsUpstreamIsDraining() throws IOException {
    first.setReportsLeaving(true);
    int before = first.arrivals().size();
    for (int round = 0; round < ROUNDS && first.arrivals().size() == before; round++) {
      Http.send(cluster.streamRequest(0, "session-" + round));
    }
    assertTrue(first.arrivals().size() > before, "the upstream never got a request");
    assertEquals(arrivalsOf(first, SampleObjects.ONCE), 0);
  }

  @Test
  public void testLaterReadyEntryDoesNotRevokeDraining() throws IOException {
    first.setReportsLeaving(true);
    sendUntilReceived(first);
    cluster.store.put("servers", "i-1", cluster.entryOf("i-1").put("sequence", 2).put("slots", 9));
    cluster.store.delete("servers", "i-1");
    cluster.store.put("servers", "i-1", cluster.entryOf("i-1").put("sequence", 3));
    assertEquals(arrivalsOf(first, SampleObjects.REPEATABLE), 0);
  }

  @Test
  public void testUpstreamThatAsksForBackoffGetsNoRequests() throws IOException {
    first.setBehaviour(Behaviour.REFUSES);
    first.setRetryAfter("600");
    sendUntilReceived(first);
    assertEquals(arrivalsOf(first, SampleObjects.REPEATABLE), 0);
    assertEquals(arrivalsOf(first, SampleObjects.ONCE), 0);
  }

  @Test
  public void testBackoffEndsAfterItsDurationOrWithRestart() throws IOException {
    first.setBehaviour(Behaviour.REFUSES);
    first.setRetryAfter("0.05");
    sendUntilReceived(first);
    Await.until("the upstream gets a request again", () -> receivesRequest(first));
    first.setRetryAfter("600");
    Await.until("the upstream asks for a long back-off", () -> receivesRequest(first));
    first.setBehaviour(Behaviour.NORMAL);
    cluster.store.put("servers", "i-1", cluster.entryOf("i-1").put("born", 5));
    cluster.store.put("servers", "i-1", cluster.entryOf("i-1").put("born", 7));
    Await.until("the restarted upstream gets a request", () -> receivesRequest(first));
  }

  @Test
  public void testRequestIsRefusedWithRetryAfterWhenAllUpstreamsBackOff() throws IOException {
    for (UpstreamStandin upstream : List.of(first, second)) {
      upstream.setBehaviour(Behaviour.REFUSES);
      upstream.setRetryAfter("20");
    }
    send(SampleObjects.REPEATABLE + "x");
    send(SampleObjects.REPEATABLE + "x");
    int before = cluster.arrivals();
    double minimum = Double.MAX_VALUE;
    double maximum = 0;
    for (int round = 0; round < ROUNDS; round++) {
      Http.Response answer = send(SampleObjects.ONCE + round);
      assertEquals(answer.status(), 503);
      assertEquals(answer.notRun(), "yes");
      assertEquals(answer.reason(), "upstreams-rest");
      double wait = Double.parseDouble(answer.header("Retry-After"));
      minimum = Math.min(minimum, wait);
      maximum = Math.max(maximum, wait);
    }
    assertEquals(cluster.arrivals(), before);
    assertTrue(minimum > 10 && maximum < 40, "Retry-After from " + minimum + " to " + maximum);
    assertTrue(
        maximum - minimum > 0.5,
        "all callers would retry at once: from " + minimum + " to " + maximum);
  }

  @DataProvider
  Object[][] unusualBackoffs() {
    return new Object[][] {
      {"0"},
      {"-5"},
      {"0.000001"},
      {"1000000"},
      {"1e400"},
      {"NaN"},
      {"soon"},
      {""},
      {"Thu, 03 Dec 2026 07:00:00 GMT"},
      {"3;q=1"},
      {"9".repeat(400)}
    };
  }

  @Test(dataProvider = "unusualBackoffs")
  public void testExtremeAndMalformedBackoffsCauseNoFailures(String backoff) throws IOException {
    first.setBehaviour(Behaviour.REFUSES);
    first.setRetryAfter(backoff);
    sendUntilReceived(first);
    for (int round = 0; round < ROUNDS / 4; round++) {
      assertEquals(send(SampleObjects.REPEATABLE + round).status(), 200);
    }
    String status = Http.get(cluster.metricsPort(0), "/status").body();
    assertTrue(status.contains("i-1"), status);
  }
}
