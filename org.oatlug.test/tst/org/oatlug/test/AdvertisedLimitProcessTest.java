// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
import org.oatlug.adapter.standin.UpstreamStandin.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that all instances together keep to the request rate that an upstream advertises. Guards
 * against instances that ignore the limit and send requests at the same rate as before.
 */
public class AdvertisedLimitProcessTest {
  private static final int ROUNDS = 60;
  private static final double LIMIT_PER_SECOND = 1;

  /** Shortest span over which the limit is evaluated. */
  private static final Duration WINDOW = Duration.ofSeconds(4);

  private GatewayCluster cluster;
  private UpstreamStandin limited;
  private int instances;

  private void start(int count) throws IOException {
    instances = count;
    cluster = GatewayCluster.start(count, 2);
    limited = cluster.upstreams.get("i-1");
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    cluster.close();
  }

  private int send(int entry, String path) throws IOException {
    return Http.send(cluster.request(entry, path)).status();
  }

  /** Sends requests to an instance until the limited upstream gets one; returns whether it did. */
  private boolean receivesRequestFrom(int entry) throws IOException {
    int before = limited.arrivals().size();
    for (int round = 0; round < ROUNDS && limited.arrivals().size() == before; round++) {
      send(entry, SampleObjects.REPEATABLE + round);
    }
    return limited.arrivals().size() > before;
  }

  /**
   * Returns the number of requests allowed in a span: 1.5 times the limit plus 5. A span shorter
   * than {@link #WINDOW} counts as one window.
   */
  private static double allowedIn(Duration span) {
    Duration counted = span.compareTo(WINDOW) < 0 ? WINDOW : span;
    return 1.5 * LIMIT_PER_SECOND * counted.toMillis() / 1000 + 5;
  }

  /** Sends requests to all instances in turn and checks how many the limited upstream gets. */
  private void assertLimitKept(String path) throws IOException {
    int before = limited.arrivals().size();
    long start = System.nanoTime();
    for (int round = 0; round < ROUNDS; round++) {
      for (int entry = 0; entry < instances; entry++) {
        assertEquals(
            send(entry, path + round), 200, "the upstream without a limit serves the rest");
      }
    }
    Duration took = Duration.ofNanos(System.nanoTime() - start);
    int received = limited.arrivals().size() - before;
    assertTrue(received <= allowedIn(took), received + " requests in " + took + " at " + path);
  }

  private void advertiseLimit(double limit) throws IOException {
    limited.setLimit(Optional.of(Double.toString(limit)));
    for (int entry = 0; entry < instances; entry++) {
      receivesRequestFrom(entry);
    }
  }

  @DataProvider
  Object[][] instanceCounts() {
    return new Object[][] {{1}, {3}};
  }

  @Test(dataProvider = "instanceCounts")
  public void testAllInstancesTogetherKeepToLimitOfUpstream(int count) throws IOException {
    start(count);
    advertiseLimit(LIMIT_PER_SECOND);
    assertLimitKept(SampleObjects.REPEATABLE);
    assertLimitKept(SampleObjects.ONCE);
  }

  @DataProvider
  Object[][] failures() {
    return new Object[][] {
      {Behaviour.REFUSES},
      {Behaviour.FAILS},
      {Behaviour.CUTS},
      {Behaviour.RESPONDS_TO_ANOTHER_REQUEST}
    };
  }

  @Test(dataProvider = "failures")
  public void testLimitIsReadFromFailedResponses(Behaviour behaviour) throws IOException {
    start(1);
    limited.setBehaviour(behaviour);
    advertiseLimit(LIMIT_PER_SECOND);
    int before = limited.arrivals().size();
    for (int round = 0; round < ROUNDS; round++) {
      send(0, SampleObjects.REPEATABLE + round);
    }
    assertTrue(limited.arrivals().size() - before <= allowedIn(WINDOW));
  }

  @Test
  public void testUpstreamIsProbedUnderZeroLimitAndUsedByAllWithoutIt() throws IOException {
    start(3);
    advertiseLimit(0);
    int before = limited.arrivals().size();
    Await.until("an instance sends a request", () -> receivesRequestFromAny(before));
    limited.setLimit(Optional.empty());
    Await.until("all instances send requests", this::receivesRequestFromEach);
  }

  private boolean receivesRequestFromEach() throws IOException {
    boolean allReceived = true;
    for (int entry = 0; entry < instances; entry++) {
      allReceived &= receivesRequestFrom(entry);
    }
    return allReceived;
  }

  private boolean receivesRequestFromAny(int before) throws IOException {
    for (int entry = 0; entry < instances; entry++) {
      send(entry, SampleObjects.REPEATABLE + "any");
    }
    return limited.arrivals().size() > before;
  }

  @Test
  public void testRestartedUpstreamHasNoLimit() throws IOException {
    start(1);
    cluster.store.put("servers", "i-1", cluster.entryOf("i-1").put("born", 5));
    advertiseLimit(0);
    limited.setLimit(Optional.empty());
    cluster.store.put("servers", "i-1", cluster.entryOf("i-1").put("born", 7));
    Await.until("the restarted upstream gets a request", () -> receivesRequestFrom(0));
  }

  @Test
  public void testLimitedUpstreamsAreNotOverloadedAndRetriesAreSpread() throws IOException {
    start(1);
    for (UpstreamStandin upstream : cluster.upstreams.values()) {
      upstream.setLimit(Optional.of("2"));
    }
    List<Double> waits = new ArrayList<>();
    int before = cluster.arrivals();
    for (int round = 0; round < ROUNDS; round++) {
      Http.Response answer = Http.send(cluster.request(0, SampleObjects.ONCE + round));
      if (answer.status() == 503) {
        assertEquals(answer.notRun(), "yes");
        assertEquals(answer.reason(), "upstreams-limited");
        waits.add(Double.parseDouble(answer.header("Retry-After")));
      }
    }
    assertTrue(
        cluster.arrivals() - before < ROUNDS / 2,
        "requests sent: " + (cluster.arrivals() - before));
    assertTrue(waits.size() > ROUNDS / 2, "requests refused: " + waits.size());
    long distinctWaits = waits.stream().distinct().count();
    assertTrue(distinctWaits > 10, "Retry-After has only " + distinctWaits + " distinct values");
  }

  @Test
  public void testExtremeAndMalformedLimitsCauseNoFailures() throws IOException {
    start(1);
    List<String> limits =
        List.of("1000000", "0.000001", "1e400", "NaN", "some", "", "9".repeat(400), "-5");
    for (String limit : limits) {
      limited.setLimit(Optional.of(limit));
      Await.until("a request is sent with limit " + limit, () -> receivesRequestFrom(0));
      for (int round = 0; round < ROUNDS / 4; round++) {
        assertEquals(send(0, SampleObjects.REPEATABLE + round), 200);
      }
    }
    String status = Http.get(cluster.metricsPort(0), "/status").body();
    assertTrue(status.contains("requestsPerSecond"), status);
  }

  /** Guards against a status command that omits the limit of an upstream. */
  @Test
  public void testStatusShowsLimitAndItsAge() throws IOException {
    start(1);
    advertiseLimit(2.5);
    String status = cluster.command(0, "status");
    assertTrue(
        status.matches("(?s).*i-1 .*load \\d+, limit 2\\.5/s seen \\d+\\.\\d s ago.*"), status);
    assertTrue(!status.matches("(?s).*i-2 [^\n]*limit.*"), status);
  }
}
