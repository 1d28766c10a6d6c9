// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

/**
 * Tests the number of store calls during an outage, and how soon its end is detected.
 *
 * <p>The store refuses all instances for ten seconds while the readers of the zones watch four
 * kinds. Guards against each watch retrying on its own every half second, which took 486 calls of
 * six readers instead of 216.
 *
 * <p>Runs in virtual time.
 */
public class StoreOutageTest {
  private static final int SEEDS = 2;
  private static final int ZONES = 3;
  private static final int INSTANCES_PER_ZONE = 20;
  private static final Duration STARTUP_TIME = Duration.ofSeconds(6);
  private static final Duration OUTAGE = Duration.ofSeconds(10);
  private static final Duration DETECTION_TIME = Duration.ofMillis(1500);

  /** Two readers per zone retry twice a second; each substitute that they request calls once. */
  private static final int MAXIMUM_CALLS = 250;

  @Test
  public void testOneWatchProbesOutageForAll() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = VirtualFleet.of(ZONES, INSTANCES_PER_ZONE, seed, VirtualFleet.ALL_KINDS);
      fleet.run(STARTUP_TIME);
      fleet.refuseCalls(fleet.names());
      final int before = fleet.storeCalls();
      fleet.run(OUTAGE);
      int calls = fleet.storeCalls() - before;
      assertTrue(calls <= MAXIMUM_CALLS, "store calls " + calls + " seed " + seed);
    }
  }

  @Test
  public void testChangeDuringOutageIsAppliedSoonAfterwards() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = VirtualFleet.of(ZONES, INSTANCES_PER_ZONE, seed, VirtualFleet.ALL_KINDS);
      fleet.run(STARTUP_TIME);
      fleet.refuseCalls(fleet.names());
      fleet.run(OUTAGE);
      fleet.evacuate("zone-0");
      fleet.endRefusals();
      fleet.run(DETECTION_TIME);
      assertEquals(fleet.instancesEvacuating("zone-0"), fleet.names(), "seed " + seed);
    }
  }
}
