// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.oatlug.internal.crash.CrashLedger.Verdict;
import org.oatlug.internal.gather.PartCrashSimulation.Policy;
import org.oatlug.internal.gather.StateExchangeFleet.Instance;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against prompt parts that crash upstreams in ever new requests, and against refusing the
 * requests that share only their other parts.
 */
public class PartCrashFleetTest {
  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final Duration PAUSE = Duration.ofMillis(25);
  private static final int REQUESTS = 800;
  private static final int SEEDS = 2;
  private static final List<List<Long>> DEADLY =
      List.of(List.of(1L << 40), List.of(1L << 40, 1L << 41, 1L << 42));

  /** Requests of one part that may reach upstreams once all instances have to know it. */
  private static final int MAXIMUM_SENT_LATE = 3;

  /** Other requests have to begin at least this often at the first try. */
  private static final double MINIMUM_SOUND_SHARE = 0.5;

  /** Zones, instances of each, upstreams, and one deadly request in how many. */
  @DataProvider
  Object[][] fleets() {
    return new Object[][] {
      {1, 7, 13, 4},
      {1, 7, 13, 40},
      {3, 20, 78, 4},
      {3, 20, 78, 40},
      {5, 19, 37, 4},
      {5, 19, 37, 40}
    };
  }

  /** A fleet with its simulation, after some seconds in which all requests were sound. */
  private record Fleet(StateExchangeFleet instances, PartCrashSimulation simulation) {
    static Fleet of(Policy policy, int zones, int perZone, int upstreams, long seed) {
      StateExchangeFleet instances = StateExchangeFleet.of(zones, perZone, seed);
      instances.run(SECOND);
      PartCrashSimulation simulation = new PartCrashSimulation(instances, policy, upstreams, seed);
      simulation.send(PAUSE, 200, List.of(), 1);
      instances.run(PAUSE.multipliedBy(200));
      return new Fleet(instances, simulation);
    }

    void send(List<Long> deadlyParts, int oneIn) {
      simulation.send(PAUSE, REQUESTS, deadlyParts, oneIn);
      instances.run(PAUSE.multipliedBy(REQUESTS));
    }

    void crashSomeInTurn(int upstreams) {
      for (int round = 1; round <= 4; round++) {
        Duration delay = SECOND.multipliedBy(4L * round);
        instances.after(delay, () -> simulation.crashSome(upstreams / 2));
      }
    }

    void partitionZone(Duration from, Duration until) {
      instances.after(from, () -> instances.partition("zone-0", true));
      instances.after(until, () -> instances.partition("zone-0", false));
    }
  }

  private void assertStoppedAndServed(Fleet fleet) {
    PartCrashSimulation simulation = fleet.simulation();
    assertTrue(simulation.sentLate() <= MAXIMUM_SENT_LATE, "late: " + simulation.sentLate());
    double share = simulation.soundShare();
    assertTrue(share >= MINIMUM_SOUND_SHARE, "sound requests that began at once: " + share);
  }

  @Test(dataProvider = "fleets")
  public void testPartsAreStoppedAndOtherRequestsServed(
      int zones, int perZone, int upstreams, int oneIn) {
    for (List<Long> deadly : DEADLY) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Fleet fleet = Fleet.of(Policy.INFER, zones, perZone, upstreams, seed);
        fleet.send(deadly, oneIn);
        assertStoppedAndServed(fleet);
      }
    }
  }

  @Test(dataProvider = "fleets")
  public void testPartsAreStoppedDuringPartitionOfZone(
      int zones, int perZone, int upstreams, int oneIn) {
    for (List<Long> deadly : DEADLY) {
      Fleet fleet = Fleet.of(Policy.INFER, zones, perZone, upstreams, 1);
      fleet.partitionZone(SECOND.dividedBy(2), SECOND.multipliedBy(10));
      fleet.send(deadly, oneIn);
      assertStoppedAndServed(fleet);
    }
  }

  @Test(dataProvider = "fleets")
  public void testPartsAreStoppedWhileUpstreamsCrashForOtherReasons(
      int zones, int perZone, int upstreams, int oneIn) {
    for (List<Long> deadly : DEADLY) {
      Fleet fleet = Fleet.of(Policy.INFER, zones, perZone, upstreams, 1);
      fleet.crashSomeInTurn(upstreams);
      fleet.send(deadly, oneIn);
      assertStoppedAndServed(fleet);
    }
  }

  @Test(dataProvider = "fleets")
  public void testCrashesForOtherReasonsRefuseNoPart(
      int zones, int perZone, int upstreams, int oneIn) {
    Fleet fleet = Fleet.of(Policy.INFER, zones, perZone, upstreams, oneIn);
    fleet.crashSomeInTurn(upstreams);
    fleet.send(List.of(), 1);
    for (Instance instance : fleet.instances().instances()) {
      boolean convicted =
          instance.ledger.restrictedRequests().stream()
              .anyMatch(restricted -> restricted.verdict() == Verdict.REFUSED);
      assertFalse(convicted, instance.name());
    }
    int refused = fleet.simulation().soundRefused();
    int sound = fleet.simulation().sound();
    assertTrue(refused * 500 <= sound, refused + " of " + sound + " refused for a while");
  }

  /** Compares the policies while upstreams crash for other reasons, too. */
  @Test
  public void testInferenceRefusesFewerSoundRequestsThanCounting() {
    int[] refused = new int[Policy.values().length];
    int[] late = new int[Policy.values().length];
    for (Policy policy : Policy.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Fleet fleet = Fleet.of(policy, 1, 7, 13, seed);
        fleet.crashSomeInTurn(13);
        fleet.send(DEADLY.get(1), 40);
        refused[policy.ordinal()] += fleet.simulation().soundRefused();
        late[policy.ordinal()] = Math.max(late[policy.ordinal()], fleet.simulation().sentLate());
      }
    }
    assertTrue(refused[Policy.INFER.ordinal()] < refused[Policy.COUNT.ordinal()]);
    assertTrue(late[Policy.INFER.ordinal()] < late[Policy.WHOLE.ordinal()]);
  }
}
