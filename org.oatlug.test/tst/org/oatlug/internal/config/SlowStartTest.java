// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against an instance that starts while the others are slow or mostly lost, and serves an
 * older state than theirs.
 *
 * <p>Runs in virtual time; {@code -Doatlug.seeds=N} sets the number of seeds.
 */
public class SlowStartTest {
  private static final int SEEDS = Integer.getInteger("oatlug.seeds", 12);
  private static final int ZONES = 3;
  private static final Duration CONVERGENCE_TIME = Duration.ofSeconds(6);
  private static final Duration TICK = Duration.ofMillis(100);

  /** The time within which a starting instance serves; until then it is not ready. */
  private static final Duration START_TIME = Duration.ofSeconds(3);

  /** The additional time of responses while the others are slow, and for how long they are. */
  private static final Duration SLOW_RESPONSE = Duration.ofMillis(1600);

  @DataProvider
  Object[][] sizes() {
    return new Object[][] {{2}, {20}, {32}};
  }

  /** Returns a fleet that knows a configuration which the restored store lacks. */
  private static VirtualFleet withRestoredStore(int perZone, int seed) {
    VirtualFleet fleet = VirtualFleet.of(ZONES, perZone, seed, VirtualFleet.ALL_KINDS);
    fleet.configure(1);
    fleet.run(CONVERGENCE_TIME);
    final VirtualStore.Copy copy = fleet.store().copy();
    fleet.configure(2);
    fleet.run(TICK);
    fleet.store().restore(copy);
    fleet.run(CONVERGENCE_TIME);
    return fleet;
  }

  private static void assertServesNewestConfiguration(VirtualFleet fleet, String name, int seed) {
    fleet.runUntilServing(name, START_TIME, TICK);
    assertTrue(fleet.serves(name), "not ready in time, seed " + seed);
    assertEquals(fleet.versions().get(name), Long.valueOf(2), "seed " + seed);
  }

  @Test(dataProvider = "sizes")
  public void testInstanceStartedAmongLostOnesServesNewestConfiguration(int perZone) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = withRestoredStore(perZone, seed);
      List<String> names = fleet.names();
      fleet.makeUnresponsive(names.subList(1 + names.size() / 4, names.size()));
      fleet.restart(names.get(0));
      assertServesNewestConfiguration(fleet, names.get(0), seed);
    }
  }

  @Test(dataProvider = "sizes")
  public void testInstanceStartedAmongSlowOnesServesNewestConfiguration(int perZone) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = withRestoredStore(perZone, seed);
      String started = fleet.names().get(0);
      fleet.delayResponses(SLOW_RESPONSE);
      fleet.restart(started);
      fleet.runUntilServing(started, SLOW_RESPONSE, TICK);
      fleet.delayResponses(Duration.ZERO);
      assertServesNewestConfiguration(fleet, started, seed);
    }
  }
}
