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
 * Shows that a restore of the store from an older copy takes no instance back, and that what is
 * written after it is in force everywhere. Virtual time; {@code -Doatlug.seeds=N} plays more seeds.
 */
public class RestoredStoreFleetTest {
  private static final int SEEDS = Integer.getInteger("oatlug.seeds", 2);
  private static final Duration START = Duration.ofSeconds(6);
  private static final Duration REST = Duration.ofMillis(700);

  /** The shortest bound that a deployment has for a configuration to be in force. */
  private static final Duration BOUND = Duration.ofSeconds(2);

  /** Twice the two seconds in which upstreams that live write their entries again. */
  private static final Duration REWRITTEN = Duration.ofSeconds(4);

  /** Longer than any content of an earlier epoch is kept for a copy that lacks it. */
  private static final Duration SETTLED = Duration.ofSeconds(40);

  /** Each of two readers a zone lists four kinds, twice, and watches them again. */
  private static final int MOST_CALLS_OF_READER = 24;

  private static final int READERS_PER_ZONE = 2;
  private static final int WRITES = 60;

  @DataProvider
  Object[][] sizes() {
    return new Object[][] {{1, 7}, {3, 2}, {3, 20}, {5, 19}};
  }

  /** Starts a fleet that has learned of writes after the copy. */
  private static VirtualFleet begin(int zones, int instancesPerZone, int seed) {
    VirtualFleet fleet = VirtualFleet.of(zones, instancesPerZone, seed, VirtualFleet.ALL_KINDS);
    fleet.register("i-1", false);
    fleet.configure(5);
    fleet.run(START);
    return fleet;
  }

  private static VirtualStore.Copy copyAndGoOn(VirtualFleet fleet) {
    final VirtualStore.Copy copy = fleet.store().copy();
    for (int write = 0; write < WRITES; write++) {
      fleet.register("i-1", false);
    }
    fleet.configure(7);
    fleet.run(REST);
    return copy;
  }

  private static void assertInForce(VirtualFleet fleet, long version, String what) {
    assertEquals(
        List.copyOf(fleet.versions().values()).stream().distinct().toList(),
        List.of(version),
        what);
    assertEquals(fleet.reverts(), 0, what);
  }

  @Test(dataProvider = "sizes")
  public void testConfigurationWrittenAfterRestoreIsInForceInTime(int zones, int perZone) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(zones, perZone, seed);
      final VirtualStore.Copy copy = copyAndGoOn(fleet);
      fleet.store().restore(copy);
      fleet.run(fleet.within(REST));
      fleet.configure(9);
      fleet.run(BOUND);
      assertInForce(fleet, 9, "seed " + seed);
    }
  }

  @Test(dataProvider = "sizes")
  public void testRestoreCostsFewCallsOfTheStore(int zones, int perZone) {
    VirtualFleet fleet = begin(zones, perZone, 1);
    final VirtualStore.Copy copy = copyAndGoOn(fleet);
    final int before = fleet.storeCalls();
    fleet.store().restore(copy);
    fleet.run(Duration.ofSeconds(3));
    int calls = fleet.storeCalls() - before;
    int most = zones * READERS_PER_ZONE * MOST_CALLS_OF_READER;
    assertTrue(calls <= most, calls + " calls of at most " + most);
  }

  @Test
  public void testWatchWhoseRevisionExistsAgainMissesNothing() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 4, seed);
      final VirtualStore.Copy copy = copyAndGoOn(fleet);
      fleet.store().restoreKeepingWatches(copy);
      fleet.configure(9);
      for (int write = 0; write < 2 * WRITES; write++) {
        fleet.register("i-1", false);
      }
      fleet.run(BOUND);
      assertInForce(fleet, 9, "seed " + seed);
    }
  }

  @Test
  public void testWatchThatIsSilentSinceTheRestoreEndsWhenAnotherIsAnswered() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 4, seed);
      final VirtualStore.Copy copy = copyAndGoOn(fleet);
      fleet.store().loseWatches(fleet.names(), GatewayKinds.ROUTING);
      fleet.store().restoreKeepingWatches(copy);
      fleet.configure(9);
      fleet.run(BOUND);
      assertInForce(fleet, 9, "seed " + seed);
    }
  }

  @Test
  public void testReaderWhoseWatchesAreSilentLearnsOfTheRestoreFromOthers() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 4, seed);
      final VirtualStore.Copy copy = copyAndGoOn(fleet);
      List<String> readers = fleet.readersOf("zone-1");
      VirtualFleet.ALL_KINDS.forEach(kinds -> fleet.store().loseWatches(readers, kinds.get(0)));
      fleet.store().restore(copy);
      fleet.run(REST);
      fleet.cutOff("zone-1");
      fleet.configure(9);
      fleet.run(BOUND);
      assertInForce(fleet, 9, "seed " + seed);
    }
  }

  @Test
  public void testTwoRestoresInRowTakeNobodyBack() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 4, seed);
      final VirtualStore.Copy copy = copyAndGoOn(fleet);
      fleet.store().restore(copy);
      fleet.run(fleet.within(REST));
      fleet.configure(9);
      fleet.run(fleet.within(REST));
      fleet.store().restore(copy);
      fleet.configure(9);
      fleet.configure(11);
      fleet.run(BOUND);
      assertInForce(fleet, 11, "seed " + seed);
    }
  }

  @Test
  public void testZoneThatIsCutOffLearnsFromItsOwnReaders() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 4, seed);
      final VirtualStore.Copy copy = copyAndGoOn(fleet);
      fleet.cutOff("zone-1");
      fleet.store().restore(copy);
      fleet.configure(9);
      fleet.run(BOUND);
      assertInForce(fleet, 9, "seed " + seed);
      fleet.heal();
      fleet.run(SETTLED);
      assertInForce(fleet, 9, "seed " + seed);
      assertEquals(fleet.digests(), 1, "seed " + seed);
    }
  }

  @Test
  public void testInstancesThatReadersAreTurnedAwayOfLearnFromOthers() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 4, seed);
      final VirtualStore.Copy copy = copyAndGoOn(fleet);
      fleet.turnAway(fleet.readersOf("zone-1"));
      fleet.store().restore(copy);
      fleet.configure(9);
      fleet.run(BOUND);
      assertInForce(fleet, 9, "seed " + seed);
    }
  }

  @Test
  public void testInstanceThatStartsOnTheCopyKnowsWhatOthersKnowBeforeItServes() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 4, seed);
      final VirtualStore.Copy copy = copyAndGoOn(fleet);
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
  public void testAllThatStartWithoutAnybodyLeftServeTheCopySoon() {
    VirtualFleet fleet = begin(3, 4, 1);
    final VirtualStore.Copy copy = copyAndGoOn(fleet);
    fleet.store().restore(copy);
    fleet.names().forEach(fleet::restart);
    fleet.run(Duration.ofSeconds(1));
    for (String name : fleet.names()) {
      assertTrue(fleet.serves(name), name);
    }
    assertInForce(fleet, 5, "the copy is all there is");
  }

  @Test
  public void testUpstreamThatSaidItLeavesStaysExcludedOnTheCopy() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(3, 4, seed);
      fleet.register("i-2", false);
      fleet.register("i-3", false);
      fleet.run(REST);
      final VirtualStore.Copy copy = copyAndGoOn(fleet);
      fleet.register("i-2", true);
      fleet.remove("i-3");
      fleet.run(REST);
      fleet.store().restore(copy);
      fleet.run(BOUND);
      for (String instance : fleet.names()) {
        assertTrue(fleet.knownOf("i-2").get(instance).orElseThrow().leaving(), instance);
        assertTrue(fleet.knownOf("i-3").get(instance).isEmpty(), instance);
      }
      fleet.register("i-3", false);
      fleet.run(BOUND);
      assertEquals(fleet.whoMisses("i-3"), List.of(), "seed " + seed);
    }
  }

  @Test
  public void testUpstreamThatTheStoreGoesOnToShowIsUsedAgain() {
    VirtualFleet fleet = begin(3, 4, 1);
    fleet.register("i-2", false);
    fleet.run(REST);
    final VirtualStore.Copy copy = copyAndGoOn(fleet);
    fleet.lapse("i-2");
    fleet.run(REST);
    fleet.store().restore(copy);
    fleet.run(BOUND);
    assertEquals(fleet.whoMisses("i-2"), fleet.names());
    fleet.run(SETTLED);
    assertEquals(fleet.whoMisses("i-2"), List.of());
  }

  @Test
  public void testUpstreamThatTheCopyLacksIsUsedUntilItHadTimeToWriteAgain() {
    VirtualFleet fleet = begin(3, 4, 1);
    final VirtualStore.Copy copy = copyAndGoOn(fleet);
    fleet.register("i-2", false);
    fleet.register("i-3", false);
    fleet.run(REST);
    fleet.store().restore(copy);
    fleet.run(REST);
    assertEquals(fleet.whoMisses("i-2"), List.of());
    fleet.register("i-2", false);
    fleet.run(REWRITTEN);
    assertEquals(fleet.whoMisses("i-2"), List.of());
    assertEquals(fleet.whoMisses("i-3"), fleet.names());
  }

  @Test
  public void testEvacuationThatTheCopyLacksGoesOnAndOneThatEndedEndsAgain() {
    VirtualFleet fleet = begin(3, 4, 1);
    fleet.empty("zone-1");
    fleet.run(REST);
    final VirtualStore.Copy copy = copyAndGoOn(fleet);
    fleet.empty("zone-0");
    fleet.takeZoneBack("zone-1");
    fleet.run(REST);
    fleet.store().restore(copy);
    fleet.run(BOUND);
    assertEquals(fleet.whoKeepsEmpty("zone-0"), fleet.names());
    fleet.empty("zone-0");
    fleet.takeZoneBack("zone-1");
    fleet.run(SETTLED);
    assertEquals(fleet.whoKeepsEmpty("zone-0"), fleet.names());
    assertEquals(fleet.whoKeepsEmpty("zone-1"), List.of());
  }

  /** Any order of writes, copies, restores, cuts, refusals and starts ends at what stands. */
  @Test
  public void testAnyOrderOfEventsEndsAtWhatTheStoreHolds() {
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
            fleet.run(fleet.within(Duration.ofMillis(300)));
            fleet.configure(version);
          }
          case 6 -> fleet.cutOff("zone-" + random.nextInt(3));
          case 7 -> fleet.turnAway(fleet.readersOf("zone-" + random.nextInt(3)));
          default -> fleet.restart(fleet.names().get(random.nextInt(9)));
        }
        fleet.run(fleet.within(REST));
        if (random.nextInt(3) == 0) {
          fleet.heal();
          fleet.takeBack();
        }
      }
      fleet.heal();
      fleet.takeBack();
      fleet.run(SETTLED);
      assertInForce(fleet, version, "seed " + seed);
      assertEquals(fleet.digests(), 1, "seed " + seed);
    }
  }
}
