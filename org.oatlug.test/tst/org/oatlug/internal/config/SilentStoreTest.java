// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against changes that take effect late because the readers' connections to the store have
 * gone silent.
 *
 * <p>Runs in virtual time; {@code -Doatlug.seeds=N} sets the number of seeds.
 */
public class SilentStoreTest {
  private static final int SEEDS = Integer.getInteger("oatlug.seeds", 1);
  private static final int ZONES = 3;
  private static final int PHASES = 8;
  private static final Duration STARTUP_TIME = Duration.ofSeconds(6);
  private static final Duration PHASE_STEP = Duration.ofMillis(500);
  private static final Duration PAUSE_BEFORE_CHANGE = Duration.ofMillis(100);

  /** The time after which the zone no longer counts an unresponsive instance as live. */
  private static final Duration DEATH_DETECTION = Duration.ofSeconds(4);

  private static final Duration BETWEEN_SILENCES = Duration.ofSeconds(3);

  /** The time within which a change has to be in force, and draining upstreams receive nothing. */
  private static final Duration BOUND = Duration.ofSeconds(2);

  /** Instances of each zone, for each phase of the readers' watches at which they fall silent. */
  @DataProvider
  Object[][] sizesAndPhases() {
    int[] sizes = {2, 20, 32};
    Object[][] cases = new Object[sizes.length * PHASES][];
    for (int index = 0; index < cases.length; index++) {
      cases[index] = new Object[] {sizes[index / PHASES], index % PHASES};
    }
    return cases;
  }

  private static VirtualFleet begin(int instancesPerZone, int phase, long seed) {
    VirtualFleet fleet = VirtualFleet.of(ZONES, instancesPerZone, seed, VirtualFleet.ALL_KINDS);
    fleet.configure(1);
    fleet.register("i-1", false);
    fleet.run(STARTUP_TIME.plus(PHASE_STEP.multipliedBy(phase)));
    return fleet;
  }

  /** Changes an object of each kind that must take effect within the bound, and checks all. */
  private static void assertChangesApplyInTime(VirtualFleet fleet, long version, String upstream) {
    fleet.configure(version);
    fleet.register(upstream, true);
    fleet.evacuate("zone-" + version);
    fleet.run(BOUND);
    Map<String, Long> versions = fleet.versions();
    List<String> late =
        versions.keySet().stream().filter(name -> versions.get(name) < version).toList();
    assertEquals(late, List.of(), "instances without version " + version);
    assertEquals(fleet.instancesEvacuating("zone-" + version), fleet.names());
    assertEquals(fleet.instancesThatExcluded(upstream).size(), fleet.names().size(), upstream);
  }

  @Test(dataProvider = "sizesAndPhases")
  public void testChangeAfterSilenceAppliesInTime(int instancesPerZone, int phase) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(instancesPerZone, phase, seed);
      fleet.silenceStoreConnections();
      fleet.run(PAUSE_BEFORE_CHANGE);
      assertChangesApplyInTime(fleet, 2, "i-1");
    }
  }

  @Test(dataProvider = "sizesAndPhases")
  public void testChangeAfterSecondSilenceAppliesInTime(int instancesPerZone, int phase) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(instancesPerZone, 0, seed);
      fleet.silenceStoreConnections();
      fleet.run(BETWEEN_SILENCES.plus(PHASE_STEP.multipliedBy(phase)));
      fleet.silenceStoreConnections();
      fleet.run(PAUSE_BEFORE_CHANGE);
      assertChangesApplyInTime(fleet, 2, "i-1");
    }
  }

  @Test(dataProvider = "sizesAndPhases")
  public void testPartitionedZoneAppliesChangeAfterSilenceInTime(int instancesPerZone, int phase) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(instancesPerZone, phase, seed);
      fleet.partition("zone-0");
      fleet.silenceStoreConnections();
      fleet.run(PAUSE_BEFORE_CHANGE);
      assertChangesApplyInTime(fleet, 2, "i-1");
    }
  }

  /** The first reader of a zone dies together with the connections of its standby. */
  @Test
  public void testStandbyWithSilentConnectionsTakesOverInTime() {
    for (int phase = 0; phase < PHASES; phase++) {
      VirtualFleet fleet = begin(20, phase, phase + 1);
      fleet.silenceStoreConnections();
      fleet.partition("zone-0");
      String first = fleet.firstReaderOf("zone-0");
      fleet.makeUnresponsive(List.of(first));
      fleet.run(DEATH_DETECTION);
      fleet.configure(2);
      fleet.run(BOUND);
      Map<String, Long> versions = fleet.versions();
      versions.remove(first);
      assertTrue(versions.values().stream().allMatch(version -> version == 2), "phase " + phase);
    }
  }
}
