// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against configurations that take effect late while a burst of them is published and many
 * instances lose power at once, the readers of a zone among them.
 *
 * <p>Runs in virtual time; {@code -Doatlug.seeds=N} sets the number of seeds.
 */
public class ChangeBurstTest {
  private static final int SEEDS = Integer.getInteger("oatlug.seeds", 2);
  private static final int ZONES = 3;
  private static final int CONFIGURATIONS = 40;
  private static final int CONFIGURATIONS_BEFORE_LOSS = 10;
  private static final Duration STARTUP_TIME = Duration.ofSeconds(6);
  private static final Duration INTERVAL = Duration.ofMillis(75);

  /** The time within which a change has to be in force. */
  private static final Duration BOUND = Duration.ofSeconds(2);

  /** Instances of each zone, and the fraction of all instances that is lost. */
  @DataProvider
  Object[][] sizesAndLosses() {
    List<Object[]> cases = new ArrayList<>();
    for (int perZone : new int[] {3, 20, 32}) {
      for (double lost : new double[] {0, 0.2, 0.6, 0.75}) {
        cases.add(new Object[] {perZone, lost});
      }
    }
    return cases.toArray(new Object[0][]);
  }

  private static List<String> chooseLost(VirtualFleet fleet, double fraction, long seed) {
    List<String> names = new ArrayList<>(fleet.names());
    Collections.shuffle(names, new Random(seed));
    return names.subList(0, (int) (names.size() * fraction));
  }

  /** Publishes configurations in quick succession; the power fails after some of them. */
  private static void publish(VirtualFleet fleet, List<String> lost) {
    for (int version = 2; version <= CONFIGURATIONS; version++) {
      fleet.configure(version);
      if (version == CONFIGURATIONS_BEFORE_LOSS) {
        fleet.makeUnresponsive(lost);
      }
      fleet.run(INTERVAL);
    }
  }

  private static void assertInForce(VirtualFleet fleet, List<String> lost, long version) {
    Map<String, Long> versions = fleet.versions();
    versions.keySet().removeAll(lost);
    versions.values().removeIf(applied -> applied >= version);
    assertEquals(versions, Map.of(), "instances without version " + version);
  }

  @Test(dataProvider = "sizesAndLosses")
  public void testLastConfigurationAppliesInTime(int perZone, double fraction) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = VirtualFleet.of(ZONES, perZone, seed, VirtualFleet.ALL_KINDS);
      fleet.configure(1);
      fleet.run(STARTUP_TIME);
      List<String> lost = chooseLost(fleet, fraction, seed);
      publish(fleet, lost);
      fleet.run(BOUND.minus(INTERVAL));
      assertInForce(fleet, lost, CONFIGURATIONS);
      assertEquals(fleet.reverts(), 0, "reverts");
    }
  }

  /** Each configuration, not only the last, applies in time at the instances that remain. */
  @Test(dataProvider = "sizesAndLosses")
  public void testEachConfigurationAppliesInTime(int perZone, double fraction) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = VirtualFleet.of(ZONES, perZone, seed, VirtualFleet.ALL_KINDS);
      fleet.configure(1);
      fleet.run(STARTUP_TIME);
      List<String> lost = chooseLost(fleet, fraction, seed);
      publish(fleet, lost);
      fleet.run(BOUND);
      List<Duration> delays = fleet.configurationDelays(lost, CONFIGURATIONS);
      Duration longest = Collections.max(delays);
      assertTrue(longest.compareTo(BOUND) <= 0, "longest delay " + longest + " seed " + seed);
    }
  }

  @DataProvider
  Object[][] sizesAndPartitions() {
    return new Object[][] {{3, false}, {20, false}, {32, false}, {3, true}, {20, true}, {32, true}};
  }

  /** All readers of a zone die at once; the zone may be partitioned from the other zones. */
  @Test(dataProvider = "sizesAndPartitions")
  public void testZoneWithoutReadersAppliesConfigurationInTime(int perZone, boolean partitioned) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = VirtualFleet.of(ZONES, perZone, seed, VirtualFleet.ALL_KINDS);
      fleet.configure(1);
      fleet.run(STARTUP_TIME);
      List<String> lost = fleet.readersOf("zone-0");
      fleet.makeUnresponsive(lost);
      if (partitioned) {
        fleet.partition("zone-0");
      }
      fleet.configure(2);
      fleet.run(BOUND);
      assertInForce(fleet, lost, 2);
    }
  }
}
