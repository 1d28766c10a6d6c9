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

/** Upstreams that named a limit for all instances together got requests as before. */
public class NamedLimitProcessTest {
  private static final int ROUNDS = 60;
  private static final double LIMIT_PER_SECOND = 1;

  /** The span for which the rule counts. */
  private static final Duration WINDOW = Duration.ofSeconds(4);

  private GatewayCluster cluster;
  private UpstreamStandin first;
  private int instances;

  private void start(int count) throws IOException {
    instances = count;
    cluster = GatewayCluster.start(count, 2);
    first = cluster.upstreams.get("i-1");
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    cluster.close();
  }

  private int send(int entry, String path) throws IOException {
    return Http.send(cluster.request(entry, path)).status();
  }

  private boolean isAsked(int entry) throws IOException {
    int before = first.arrivals().size();
    for (int round = 0; round < ROUNDS && first.arrivals().size() == before; round++) {
      send(entry, SampleObjects.REPEATABLE + round);
    }
    return first.arrivals().size() > before;
  }

  /** What the rule allows in a span, which is never taken for less than its window. */
  private static double allowedIn(Duration span) {
    Duration counted = span.compareTo(WINDOW) < 0 ? WINDOW : span;
    return 1.5 * LIMIT_PER_SECOND * counted.toMillis() / 1000 + 5;
  }

  /** Sends at all instances in turn, and counts what the upstream gets of it. */
  private void assertKept(String path) throws IOException {
    int before = first.arrivals().size();
    long start = System.nanoTime();
    for (int round = 0; round < ROUNDS; round++) {
      for (int entry = 0; entry < instances; entry++) {
        assertEquals(send(entry, path + round), 200, "the other upstream takes all");
      }
    }
    Duration took = Duration.ofNanos(System.nanoTime() - start);
    int got = first.arrivals().size() - before;
    assertTrue(got <= allowedIn(took), got + " in " + took + " at " + path);
  }

  private void nameLimit(double limit) throws IOException {
    first.setLimit(Optional.of(Double.toString(limit)));
    for (int entry = 0; entry < instances; entry++) {
      isAsked(entry);
    }
  }

  @DataProvider
  Object[][] sizes() {
    return new Object[][] {{1}, {3}};
  }

  @Test(dataProvider = "sizes")
  public void testAllInstancesTogetherKeepToTheLimitThatAnUpstreamNamed(int size)
      throws IOException {
    start(size);
    nameLimit(LIMIT_PER_SECOND);
    assertKept(SampleObjects.REPEATABLE);
    assertKept(SampleObjects.ONCE);
  }

  @DataProvider
  Object[][] answers() {
    return new Object[][] {
      {Behaviour.REFUSES}, {Behaviour.FAILS}, {Behaviour.CUTS}, {Behaviour.ANSWERS_ANOTHER}
    };
  }

  @Test(dataProvider = "answers")
  public void testLimitIsReadFromEachAnswer(Behaviour behaviour) throws IOException {
    start(1);
    first.setBehaviour(behaviour);
    nameLimit(LIMIT_PER_SECOND);
    int before = first.arrivals().size();
    for (int round = 0; round < ROUNDS; round++) {
      send(0, SampleObjects.REPEATABLE + round);
    }
    assertTrue(first.arrivals().size() - before <= allowedIn(WINDOW));
  }

  @Test
  public void testUpstreamGetsRequestsWithinItsLimitAndAllOnceItHasEnded() throws IOException {
    start(3);
    nameLimit(0);
    int before = first.arrivals().size();
    Await.until("a sender asks", () -> isAskedByAny(before));
    first.setLimit(Optional.empty());
    Await.until("all ask", this::isAskedByEach);
  }

  private boolean isAskedByEach() throws IOException {
    boolean each = true;
    for (int entry = 0; entry < instances; entry++) {
      each &= isAsked(entry);
    }
    return each;
  }

  private boolean isAskedByAny(int before) throws IOException {
    for (int entry = 0; entry < instances; entry++) {
      send(entry, SampleObjects.REPEATABLE + "any");
    }
    return first.arrivals().size() > before;
  }

  @Test
  public void testAnotherStartHasNoLimit() throws IOException {
    start(1);
    cluster.store.put("servers", "i-1", cluster.entryOf("i-1").put("born", 5));
    nameLimit(0);
    first.setLimit(Optional.empty());
    cluster.store.put("servers", "i-1", cluster.entryOf("i-1").put("born", 7));
    Await.until("the other start is asked", () -> isAsked(0));
  }

  @Test
  public void testAllLimitedAreNotOverrunAndCallersReturnOneAfterTheOther() throws IOException {
    start(1);
    for (UpstreamStandin upstream : cluster.upstreams.values()) {
      upstream.setLimit(Optional.of("2"));
    }
    List<Double> waits = new ArrayList<>();
    int before = cluster.arrivals();
    for (int round = 0; round < ROUNDS; round++) {
      Http.Answer answer = Http.send(cluster.request(0, SampleObjects.ONCE + round));
      if (answer.status() == 503) {
        assertEquals(answer.notRun(), "yes");
        assertEquals(answer.reason(), "upstreams-limited");
        waits.add(Double.parseDouble(answer.header("Retry-After")));
      }
    }
    assertTrue(cluster.arrivals() - before < ROUNDS / 2, "got " + (cluster.arrivals() - before));
    assertTrue(waits.size() > ROUNDS / 2, "refused " + waits.size());
    long moments = waits.stream().distinct().count();
    assertTrue(moments > 10, "all return at " + moments + " moments");
  }

  @Test
  public void testMalformedLimitsHarmNobody() throws IOException {
    start(1);
    List<String> limits =
        List.of("1000000", "0.000001", "1e400", "NaN", "some", "", "9".repeat(400), "-5");
    for (String limit : limits) {
      first.setLimit(Optional.of(limit));
      Await.until("it is asked with limit " + limit, () -> isAsked(0));
      for (int round = 0; round < ROUNDS / 4; round++) {
        assertEquals(send(0, SampleObjects.REPEATABLE + round), 200);
      }
    }
    String shown = Http.get(cluster.metricsPort(0), "/status").body();
    assertTrue(shown.contains("requestsPerSecond"), shown);
  }

  /** The command showed nothing of a limit. */
  @Test
  public void testOperatorSeesTheLimitAndItsAge() throws IOException {
    start(1);
    nameLimit(2.5);
    String shown = cluster.command(0, "status");
    assertTrue(
        shown.matches("(?s).*i-1 .*load \\d+, limit 2\\.5/s seen \\d+\\.\\d s ago.*"), shown);
    assertTrue(!shown.matches("(?s).*i-2 [^\n]*limit.*"), shown);
  }
}
