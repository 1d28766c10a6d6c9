// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.oatlug.internal.engine.ServiceTimes;
import org.oatlug.internal.routing.SampledChoice.Candidate;
import org.oatlug.internal.routing.SampledChoice.Option;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the choice among servers of plain services, and among sampled candidates. */
public class PredictedResponseCostTest {
  private static final double GOAL_MILLIS = 149;
  private static final double WORK_MILLIS = 21;
  private static final int SLOTS = 6;
  private static final Instant NOW = Instant.parse("2026-12-04T12:00:00Z");

  /** Returns states of the own server: service time, load and whether another zone is better. */
  @DataProvider
  public Object[][] ownServers() {
    return new Object[][] {
      {WORK_MILLIS, 0.0, false},
      {WORK_MILLIS, 6.0, false},
      {WORK_MILLIS, 20.0, false},
      {WORK_MILLIS, 60.0, true},
      {100.0, 0.0, false},
      {100.0, 12.0, true},
      {250.0, 0.0, true}
    };
  }

  /**
   * The own server is slow, full or neither. Guards against a zone that waits for its own server
   * beyond the goal, and against traffic between zones without need.
   */
  @Test(dataProvider = "ownServers")
  public void testOwnZoneComesFirstWithinTheGoal(double ownMillis, double load, boolean leaves) {
    ServiceTimes times = ServiceTimes.create();
    for (int response = 0; response < 5; response++) {
      times.record("desk", "own", "", ownMillis, 1, NOW);
      times.record("desk", "other", "zone-b", WORK_MILLIS + 15, 1, NOW);
    }
    double own = cost(times, "own", "", load);
    double other = cost(times, "other", "zone-b", 2);
    assertEquals(other < own, leaves, "own=" + own + " other=" + other);
  }

  private static double cost(ServiceTimes times, String server, String zone, double load) {
    PredictedResponseCost.ServerState state =
        new PredictedResponseCost.ServerState(
            times.serviceMillisOf("desk", server, 1, NOW),
            load,
            SLOTS,
            times.networkMillisTo("desk", zone),
            !zone.isEmpty(),
            0,
            false,
            false);
    return PredictedResponseCost.of(state, GOAL_MILLIS);
  }

  @Test
  public void testNetworkTimeIsMeasured() {
    ServiceTimes times = ServiceTimes.create();
    for (int response = 0; response < 5; response++) {
      times.record("desk", "own", "", WORK_MILLIS, 1, NOW);
      times.record("desk", "other", "zone-b", WORK_MILLIS + 12, 1, NOW);
    }
    assertEquals(times.networkMillisTo("desk", "zone-b"), 12, 0.5);
    assertEquals(times.serviceMillisOf("desk", "other", 1, NOW), WORK_MILLIS, 0.5);
  }

  /** Guards against instances that all follow a report of one upstream within 200 ms. */
  @Test
  public void testUpstreamThatLooksBestGetsAtMostTwiceItsShare() {
    Random random = new Random(4);
    List<Candidate<Integer>> candidates = new ArrayList<>();
    for (int number = 0; number < 42; number++) {
      candidates.add(new Candidate<>(number, number % 4 == 0 ? 2 : 1, false, false, false));
    }
    int[] counts = new int[candidates.size()];
    int requests = 53_000;
    for (int request = 0; request < requests; request++) {
      List<Option<Integer>> options = new ArrayList<>();
      for (int number : SampledChoice.draw(candidates, random)) {
        double costMillis = number == 0 ? 0 : 100;
        options.add(new Option<>(number, costMillis, number == 1 ? 0.1 : 1, false));
      }
      counts[SampledChoice.best(options).orElseThrow().value()]++;
    }
    double share = requests / 53.0;
    assertTrue(counts[0] <= 2.1 * 2 * share, "lowest cost: " + counts[0]);
    assertTrue(counts[1] <= 2.1 * share, "lowest slowdown: " + counts[1]);
  }
}
