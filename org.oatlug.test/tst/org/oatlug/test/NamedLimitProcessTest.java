// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.adapter.standin.UpstreamStandin;
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
}
