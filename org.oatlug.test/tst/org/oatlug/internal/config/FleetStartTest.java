// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Tests the number of store calls when all instances start at once.
 *
 * <p>Guards against some 20 calls per instance before the first request, two thirds of the calls of
 * a quiet day. Instances that start at once know no peers, so each considered itself the reader of
 * its zone and watched the store. Every upstream that registered meanwhile completed the watches of
 * all instances, which watched again.
 *
 * <p>Runs in virtual time.
 */
public class FleetStartTest {
  private static final int SEEDS = 3;
  private static final int ZONES = 5;
  private static final int INSTANCES_PER_ZONE = 19;
  private static final int UPSTREAMS = 42;
  private static final Duration START_WINDOW = Duration.ofMillis(300);
  private static final Duration REGISTRATION_INTERVAL = Duration.ofMillis(30);

  /** Shorter than the wait of a watch, so that a watch without changes counts once. */
  private static final Duration SETTLING_TIME = Duration.ofSeconds(3);

  /** Each instance reads once; the readers of a zone continue once they know their role. */
  private static final int MAXIMUM_CALLS_PER_INSTANCE = 4;

  private static VirtualFleet started(int seed) {
    VirtualFleet fleet = VirtualFleet.starting(ZONES, INSTANCES_PER_ZONE, START_WINDOW, seed);
    for (int number = 0; number < UPSTREAMS; number++) {
      fleet.run(REGISTRATION_INTERVAL);
      fleet.register("i-" + number, false);
    }
    return fleet;
  }

  @Test
  public void testStartingInstancesMakeFewStoreCalls() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = started(seed);
      fleet.run(SETTLING_TIME);
      int maximumCalls = MAXIMUM_CALLS_PER_INSTANCE * ZONES * INSTANCES_PER_ZONE;
      assertTrue(
          fleet.storeCalls() <= maximumCalls,
          "store calls " + fleet.storeCalls() + " seed " + seed);
    }
  }

  @Test
  public void testAllKnowObjectsWrittenDuringStart() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = started(seed);
      fleet.run(SETTLING_TIME);
      for (int number = 0; number < UPSTREAMS; number++) {
        assertEquals(
            fleet.instancesWithout("i-" + number), List.of(), "i-" + number + " seed " + seed);
      }
    }
  }
}
