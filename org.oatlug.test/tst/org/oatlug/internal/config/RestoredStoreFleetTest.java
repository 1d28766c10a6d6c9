// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.oatlug.gateway.GatewayKinds;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a restore of the store from an older copy reverts no instance, and that later writes
 * are applied by all. Runs in virtual time; {@code -Doatlug.seeds=N} sets the number of seeds.
 */
public class RestoredStoreFleetTest {
  private static final int SEEDS = Integer.getInteger("oatlug.seeds", 2);
  private static final Duration STARTUP_TIME = Duration.ofSeconds(6);
  private static final Duration PAUSE = Duration.ofMillis(700);

  /** The strictest bound of a deployment on the time until a configuration is applied. */
  private static final Duration APPLIED_WITHIN = Duration.ofSeconds(2);

  /** Twice the two seconds within which live upstreams write their entries again. */
  private static final Duration REWRITE_TIME = Duration.ofSeconds(4);

  /** Longer than content of an earlier epoch is retained if the restored copy lacks it. */
  private static final Duration SETTLING_TIME = Duration.ofSeconds(40);

  /** Each of two readers per zone lists four kinds twice and watches them again. */
  private static final int MAXIMUM_CALLS_PER_READER = 24;

  private static final int READERS_PER_ZONE = 2;
  private static final int WRITES = 60;

  @DataProvider
  Object[][] sizes() {
    return new Object[][] {{1, 7}, {3, 2}, {3, 20}, {5, 19}};
  }

  /** Starts a fleet with an upstream and a configuration. */
  private static VirtualFleet begin(int zones, int instancesPerZone, int seed) {
    VirtualFleet fleet = VirtualFleet.of(zones, instancesPerZone, seed, VirtualFleet.ALL_KINDS);
    fleet.register("i-1", false);
    fleet.configure(5);
    fleet.run(STARTUP_TIME);
    return fleet;
  }

  private static VirtualStore.Copy copyAndContinueWriting(VirtualFleet fleet) {
    final VirtualStore.Copy copy = fleet.store().copy();
    for (int write = 0; write < WRITES; write++) {
      fleet.register("i-1", false);
    }
    fleet.configure(7);
    fleet.run(PAUSE);
    return copy;
  }

  private static void assertApplied(VirtualFleet fleet, long version, String message) {
    assertEquals(
        List.copyOf(fleet.versions().values()).stream().distinct().toList(),
        List.of(version),
        message);
    assertEquals(fleet.reverts(), 0, message);
  }

  @Test(dataProvider = "sizes")
  public void testConfigurationWrittenAfterRestoreIsAppliedInTime(int zones, int perZone) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(zones, perZone, seed);
      final VirtualStore.Copy copy = copyAndContinueWriting(fleet);
      fleet.store().restore(copy);
      fleet.run(fleet.randomDuration(PAUSE));
      fleet.configure(9);
      fleet.run(APPLIED_WITHIN);
      assertApplied(fleet, 9, "seed " + seed);
    }
  }

  @Test(dataProvider = "sizes")
  public void testRestoreTakesFewStoreCalls(int zones, int perZone) {
    VirtualFleet fleet = begin(zones, perZone, 1);
    final VirtualStore.Copy copy = copyAndContinueWriting(fleet);
    final int before = fleet.storeCalls();
    fleet.store().restore(copy);
    fleet.run(Duration.ofSeconds(3));
    int calls = fleet.storeCalls() - before;
    int maximumCalls = zones * READERS_PER_ZONE * MAXIMUM_CALLS_PER_READER;
    assertTrue(calls <= maximumCalls, calls + " calls of at most " + maximumCalls);
  }

  @Test
  public void testWatchWithReusedRevisionMissesNoChange() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 4, seed);
      final VirtualStore.Copy copy = copyAndContinueWriting(fleet);
      fleet.store().restoreKeepingWatches(copy);
      fleet.configure(9);
      for (int write = 0; write < 2 * WRITES; write++) {
        fleet.register("i-1", false);
      }
      fleet.run(APPLIED_WITHIN);
      assertApplied(fleet, 9, "seed " + seed);
    }
  }

  @Test
  public void testWatchSuspendedByRestoreEndsWhenAnotherIsAnswered() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 4, seed);
      final VirtualStore.Copy copy = copyAndContinueWriting(fleet);
      fleet.store().suspendWatches(fleet.names(), GatewayKinds.ROUTING);
      fleet.store().restoreKeepingWatches(copy);
      fleet.configure(9);
      fleet.run(APPLIED_WITHIN);
      assertApplied(fleet, 9, "seed " + seed);
    }
  }

  @Test
  public void testReaderWithSuspendedWatchesDetectsRestoreThroughPeers() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 4, seed);
      final VirtualStore.Copy copy = copyAndContinueWriting(fleet);
      List<String> readers = fleet.readersOf("zone-1");
      VirtualFleet.ALL_KINDS.forEach(kinds -> fleet.store().suspendWatches(readers, kinds.get(0)));
      fleet.store().restore(copy);
      fleet.run(PAUSE);
      fleet.partition("zone-1");
      fleet.configure(9);
      fleet.run(APPLIED_WITHIN);
      assertApplied(fleet, 9, "seed " + seed);
    }
  }

  @Test
  public void testTwoSuccessiveRestoresRevertNoInstance() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 4, seed);
      final VirtualStore.Copy copy = copyAndContinueWriting(fleet);
      fleet.store().restore(copy);
      fleet.run(fleet.randomDuration(PAUSE));
      fleet.configure(9);
      fleet.run(fleet.randomDuration(PAUSE));
      fleet.store().restore(copy);
      fleet.configure(9);
      fleet.configure(11);
      fleet.run(APPLIED_WITHIN);
      assertApplied(fleet, 11, "seed " + seed);
    }
  }

  @Test
  public void testPartitionedZoneReceivesChangesFromItsReaders() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 4, seed);
      final VirtualStore.Copy copy = copyAndContinueWriting(fleet);
      fleet.partition("zone-1");
      fleet.store().restore(copy);
      fleet.configure(9);
      fleet.run(APPLIED_WITHIN);
      assertApplied(fleet, 9, "seed " + seed);
      fleet.healPartitions();
      fleet.run(SETTLING_TIME);
      assertApplied(fleet, 9, "seed " + seed);
      assertEquals(fleet.distinctDigests(), 1, "seed " + seed);
    }
  }

  @Test
  public void testZoneWithRefusedReadersReceivesChangesFromPeers() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 4, seed);
      final VirtualStore.Copy copy = copyAndContinueWriting(fleet);
      fleet.refuseCalls(fleet.readersOf("zone-1"));
      fleet.store().restore(copy);
      fleet.configure(9);
      fleet.run(APPLIED_WITHIN);
      assertApplied(fleet, 9, "seed " + seed);
    }
  }

  @Test
  public void testInstanceStartingAfterRestoreSynchronizesBeforeItServes() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 4, seed);
      final VirtualStore.Copy copy = copyAndContinueWriting(fleet);
      fleet.store().restore(copy);
      String name = fleet.namesIn("zone-1").get(seed % 4);
      fleet.restart(name);
      while (!fleet.serves(name)) {
        fleet.run(Duration.ofMillis(10));
      }
      assertEquals(fleet.versions().get(name), Long.valueOf(7), "seed " + seed);
    }
  }

  @Test
  public void testInstancesThatAllRestartServeTheCopySoon() {
    VirtualFleet fleet = begin(3, 4, 1);
    final VirtualStore.Copy copy = copyAndContinueWriting(fleet);
    fleet.store().restore(copy);
    fleet.names().forEach(fleet::restart);
    fleet.run(Duration.ofSeconds(1));
    for (String name : fleet.names()) {
      assertTrue(fleet.serves(name), name);
    }
    assertApplied(fleet, 5, "the configuration of the copy");
  }

  @Test
  public void testLeavingUpstreamStaysExcludedAfterRestore() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 4, seed);
      fleet.register("i-2", false);
      fleet.register("i-3", false);
      fleet.run(PAUSE);
      final VirtualStore.Copy copy = copyAndContinueWriting(fleet);
      fleet.register("i-2", true);
      fleet.remove("i-3");
      fleet.run(PAUSE);
      fleet.store().restore(copy);
      fleet.run(APPLIED_WITHIN);
      for (String instance : fleet.names()) {
        assertTrue(fleet.knownOf("i-2").get(instance).orElseThrow().leaving(), instance);
        assertTrue(fleet.knownOf("i-3").get(instance).isEmpty(), instance);
      }
      fleet.register("i-3", false);
      fleet.run(APPLIED_WITHIN);
      assertEquals(fleet.instancesWithout("i-3"), List.of(), "seed " + seed);
    }
  }

  @Test
  public void testUpstreamThatRemainsInRestoredStoreIsUsedAgain() {
    VirtualFleet fleet = begin(3, 4, 1);
    fleet.register("i-2", false);
    fleet.run(PAUSE);
    final VirtualStore.Copy copy = copyAndContinueWriting(fleet);
    fleet.expireEntry("i-2");
    fleet.run(PAUSE);
    fleet.store().restore(copy);
    fleet.run(APPLIED_WITHIN);
    assertEquals(fleet.instancesWithout("i-2"), fleet.names());
    fleet.run(SETTLING_TIME);
    assertEquals(fleet.instancesWithout("i-2"), List.of());
  }

  @Test
  public void testUpstreamMissingFromCopyIsUsedUntilRewriteTimeEnds() {
    VirtualFleet fleet = begin(3, 4, 1);
    final VirtualStore.Copy copy = copyAndContinueWriting(fleet);
    fleet.register("i-2", false);
    fleet.register("i-3", false);
    fleet.run(PAUSE);
    fleet.store().restore(copy);
    fleet.run(PAUSE);
    assertEquals(fleet.instancesWithout("i-2"), List.of());
    fleet.register("i-2", false);
    fleet.run(REWRITE_TIME);
    assertEquals(fleet.instancesWithout("i-2"), List.of());
    assertEquals(fleet.instancesWithout("i-3"), fleet.names());
  }

  @Test
  public void testEvacuationMissingFromCopyContinuesAndEndedOneEndsAgain() {
    VirtualFleet fleet = begin(3, 4, 1);
    fleet.evacuate("zone-1");
    fleet.run(PAUSE);
    final VirtualStore.Copy copy = copyAndContinueWriting(fleet);
    fleet.evacuate("zone-0");
    fleet.endEvacuation("zone-1");
    fleet.run(PAUSE);
    fleet.store().restore(copy);
    fleet.run(APPLIED_WITHIN);
    assertEquals(fleet.instancesEvacuating("zone-0"), fleet.names());
    fleet.evacuate("zone-0");
    fleet.endEvacuation("zone-1");
    fleet.run(SETTLING_TIME);
    assertEquals(fleet.instancesEvacuating("zone-0"), fleet.names());
    assertEquals(fleet.instancesEvacuating("zone-1"), List.of());
  }

  /** Any sequence of writes, copies, restores, partitions, refusals and restarts converges. */
  @Test
  public void testAnyOrderOfEventsConvergesToTheStore() {
    for (int seed = 1; seed <= 5 * SEEDS; seed++) {
      Random random = new Random(seed);
      VirtualFleet fleet = begin(3, 3, seed);
      VirtualStore.Copy copy = fleet.store().copy();
      long version = 5;
      for (int step = 0; step < 30; step++) {
        switch (random.nextInt(9)) {
          case 0, 1, 2 -> fleet.configure(++version);
          case 3 -> fleet.register("i-" + random.nextInt(4), random.nextBoolean());
          case 4 -> copy = fleet.store().copy();
          case 5 -> {
            fleet.store().restore(copy);
            fleet.run(fleet.randomDuration(Duration.ofMillis(300)));
            fleet.configure(version);
          }
          case 6 -> fleet.partition("zone-" + random.nextInt(3));
          case 7 -> fleet.refuseCalls(fleet.readersOf("zone-" + random.nextInt(3)));
          default -> fleet.restart(fleet.names().get(random.nextInt(9)));
        }
        fleet.run(fleet.randomDuration(PAUSE));
        if (random.nextInt(3) == 0) {
          fleet.healPartitions();
          fleet.endRefusals();
        }
      }
      fleet.healPartitions();
      fleet.endRefusals();
      fleet.run(SETTLING_TIME);
      assertApplied(fleet, version, "seed " + seed);
      assertEquals(fleet.distinctDigests(), 1, "seed " + seed);
    }
  }
}
