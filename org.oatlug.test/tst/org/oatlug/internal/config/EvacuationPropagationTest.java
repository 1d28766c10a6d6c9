// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.oatlug.gateway.GatewayKinds;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests how soon every instance applies the evacuation of a zone, and the end of the evacuation.
 *
 * <p>An evacuation is a single change, so no later push repairs a lost one; only the comparison of
 * digests does. With 6 to 95 instances the last one takes at most 535 ms in a healthy fleet and
 * 1,234 ms under the faults of this test. Instances may send requests to the zone for up to 5,000
 * ms after the write.
 *
 * <p>Runs in virtual time; {@code -Doatlug.seeds=N} sets the number of seeds.
 */
public class EvacuationPropagationTest {
  private static final int SEEDS = Integer.getInteger("oatlug.seeds", 2);
  private static final String EVACUATED_ZONE = "zone-0";
  private static final Duration CONVERGENCE_TIME = Duration.ofSeconds(6);
  private static final Duration SUBSTITUTION_TIME = Duration.ofSeconds(3);
  private static final Duration MAXIMUM_HEALTHY_DELAY = Duration.ofMillis(1000);
  private static final Duration MAXIMUM_DELAY_UNDER_FAULTS = Duration.ofSeconds(2);

  /** Time between events, and within which all instances apply the end of an evacuation. */
  private static final Duration PAUSE = Duration.ofMillis(700);

  @DataProvider
  Object[][] sizes() {
    return new Object[][] {{3, 2}, {3, 20}, {5, 19}};
  }

  private static VirtualFleet begin(int zones, int perZone, int seed) {
    VirtualFleet fleet =
        VirtualFleet.of(zones, perZone, seed, List.of(List.of(GatewayKinds.EVACUATION)));
    fleet.run(CONVERGENCE_TIME);
    return fleet;
  }

  private static void assertAppliedWithin(
      VirtualFleet fleet, String zone, Duration bound, int seed) {
    for (Map.Entry<String, Duration> delay : fleet.propagationDelays(zone).entrySet()) {
      String message =
          delay.getKey() + " applied the evacuation after " + delay.getValue() + " seed " + seed;
      assertTrue(delay.getValue().compareTo(bound) <= 0, message);
    }
  }

  private static void evacuateAndCheck(VirtualFleet fleet, Duration bound, int seed) {
    fleet.run(fleet.randomDuration(PAUSE));
    fleet.evacuate(EVACUATED_ZONE);
    fleet.run(CONVERGENCE_TIME);
    assertAppliedWithin(fleet, EVACUATED_ZONE, bound, seed);
  }

  @Test(dataProvider = "sizes")
  public void testAllApplyEvacuationAndItsEnd(int zones, int perZone) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(zones, perZone, seed);
      evacuateAndCheck(fleet, MAXIMUM_HEALTHY_DELAY, seed);
      fleet.endEvacuation(EVACUATED_ZONE);
      fleet.run(PAUSE);
      assertEquals(fleet.instancesEvacuating(EVACUATED_ZONE), List.of(), "seed " + seed);
    }
  }

  @Test(dataProvider = "sizes")
  public void testEvacuationThatEndsAndRestartsStaysApplied(int zones, int perZone) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(zones, perZone, seed);
      fleet.evacuate(EVACUATED_ZONE);
      fleet.run(PAUSE);
      fleet.endEvacuation(EVACUATED_ZONE);
      fleet.evacuate(EVACUATED_ZONE);
      fleet.run(CONVERGENCE_TIME);
      assertEquals(fleet.instancesEvacuating(EVACUATED_ZONE), fleet.names(), "seed " + seed);
    }
  }

  @Test(dataProvider = "sizes")
  public void testZoneWithRefusedReadersAppliesEvacuation(int zones, int perZone) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(zones, perZone, seed);
      fleet.refuseCalls(fleet.readersOf("zone-1"));
      evacuateAndCheck(fleet, MAXIMUM_DELAY_UNDER_FAULTS, seed);
    }
  }

  /** In a partitioned zone whose readers the store refuses, substitutes read the store. */
  @Test
  public void testPartitionedZoneWithRefusedReadersAppliesEvacuation() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 20, seed);
      fleet.partition("zone-1");
      fleet.refuseCalls(fleet.readersOf("zone-1"));
      fleet.run(SUBSTITUTION_TIME);
      evacuateAndCheck(fleet, MAXIMUM_DELAY_UNDER_FAULTS, seed);
    }
  }

  @Test
  public void testSubtreesOfUnresponsiveInstancesApplyEvacuation() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(5, 19, seed);
      for (int zone = 0; zone < 5; zone++) {
        fleet.makeUnresponsive(fleet.namesIn("zone-" + zone).subList(0, 3));
      }
      evacuateAndCheck(fleet, MAXIMUM_DELAY_UNDER_FAULTS, seed);
    }
  }

  /** After a failed watch a reader lists all objects, so it also reads changes made meanwhile. */
  @Test(dataProvider = "sizes")
  public void testEvacuationWhileAllWatchesAreBrokenIsApplied(int zones, int perZone) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(zones, perZone, seed);
      fleet.refuseCalls(fleet.names());
      fleet.evacuate(EVACUATED_ZONE);
      fleet.run(PAUSE);
      fleet.endRefusals();
      fleet.run(CONVERGENCE_TIME);
      assertAppliedWithin(fleet, EVACUATED_ZONE, MAXIMUM_DELAY_UNDER_FAULTS, seed);
    }
  }
}
