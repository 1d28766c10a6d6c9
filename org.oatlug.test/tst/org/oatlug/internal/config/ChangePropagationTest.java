// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/**
 * Tests how soon every instance knows that an upstream is leaving.
 *
 * <p>Guards against requests to upstreams that announced their departure more than two seconds
 * before. A reader pushes the change along a tree of its zone. An instance that no push reaches
 * receives the change by a comparison of digests, one or more seconds later, and selects the
 * upstream until then. Pushes ended early in three ways: an instance that already knew the newest
 * object of a batch used another tree for the rest; an instance that received the change from
 * another zone pushed it only to its own children, so that the rest of the zone depended on the
 * readers; and an unresponsive child cut off its subtree. The last instance then knew after 2,005
 * ms in a healthy fleet, 3,014 ms in a zone whose readers the store refused, and 3,259 ms with
 * three unresponsive instances per zone. Late instances log {@code by=digest}, all others {@code
 * by=push} or {@code by=watch}.
 *
 * <p>Runs in virtual time; {@code -Doatlug.seeds=N} sets the number of seeds.
 */
public class ChangePropagationTest {
  private static final int SEEDS = Integer.getInteger("oatlug.seeds", 2);
  private static final int ZONES = 4;
  private static final int INSTANCES_PER_ZONE = 23;
  private static final int UPSTREAMS = 40;
  private static final int LEAVING_PER_BURST = 8;
  private static final int LEAVING_UPSTREAMS = 24;
  private static final Duration CONVERGENCE_TIME = Duration.ofSeconds(6);
  private static final Duration PAUSE_BETWEEN_BURSTS = Duration.ofMillis(700);
  private static final Duration SUBSTITUTION_TIME = Duration.ofSeconds(3);
  private static final Duration OUTAGE = Duration.ofSeconds(2);

  /** Less than the two seconds within which the platform states that such entries reappear. */
  private static final Duration REAPPEARANCE_TIME = Duration.ofMillis(1400);

  private static final Duration MAXIMUM_PAUSE_IN_BURST = Duration.ofMillis(12);

  /** Half of the time for which upstreams still serve after they announced their departure. */
  private static final Duration MAXIMUM_DELAY = Duration.ofSeconds(1);

  private static VirtualFleet begin(int seed) {
    VirtualFleet fleet = VirtualFleet.of(ZONES, INSTANCES_PER_ZONE, seed);
    for (int number = 0; number < UPSTREAMS; number++) {
      fleet.register("i-" + number, false);
    }
    fleet.run(CONVERGENCE_TIME);
    return fleet;
  }

  /** Makes upstreams leave in quick succession; every second one without announcement. */
  private static List<String> leave(VirtualFleet fleet) {
    List<String> leaving = new ArrayList<>();
    for (int number = 0; number < LEAVING_UPSTREAMS; number++) {
      String upstream = "i-" + number;
      leaving.add(upstream);
      if (number % 2 == 0) {
        fleet.register(upstream, true);
      } else {
        fleet.remove(upstream);
      }
      boolean pauses = number % LEAVING_PER_BURST == LEAVING_PER_BURST - 1;
      fleet.run(pauses ? PAUSE_BETWEEN_BURSTS : fleet.randomDuration(MAXIMUM_PAUSE_IN_BURST));
    }
    fleet.run(CONVERGENCE_TIME);
    return leaving;
  }

  private static void assertAppliedInTime(VirtualFleet fleet, List<String> leaving, int seed) {
    for (String upstream : leaving) {
      for (Map.Entry<String, Duration> delay : fleet.propagationDelays(upstream).entrySet()) {
        assertTrue(
            delay.getValue().compareTo(MAXIMUM_DELAY) <= 0,
            delay.getKey()
                + " applied the departure of "
                + upstream
                + " after "
                + delay.getValue()
                + " seed "
                + seed);
      }
    }
  }

  @Test
  public void testSuccessiveChangesReachAllInTime() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(seed);
      assertAppliedInTime(fleet, leave(fleet), seed);
    }
  }

  @Test
  public void testZoneWithRefusedReadersReceivesChangesInTime() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(seed);
      fleet.refuseCalls(fleet.readersOf("zone-0"));
      assertAppliedInTime(fleet, leave(fleet), seed);
    }
  }

  /**
   * The other instances of the zone can reach the store. Without substitute readers, they would
   * never receive the change while the zone is partitioned.
   */
  @Test
  public void testPartitionedZoneWithRefusedReadersReadsThroughSubstitutes() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(seed);
      fleet.partition("zone-0");
      fleet.refuseCalls(fleet.readersOf("zone-0"));
      fleet.run(SUBSTITUTION_TIME);
      assertAppliedInTime(fleet, leave(fleet), seed);
    }
  }

  /**
   * Entries expire during an outage of the store and reappear soon after it. Guards against a
   * substitute reader, which did not observe the outage, treating the entries as removed at once.
   */
  @Test
  public void testEntriesExpiredInOutageAreExpectedToReappear() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(seed);
      fleet.delayRefusals();
      fleet.refuseCalls(fleet.names());
      fleet.run(OUTAGE);
      fleet.expireEntry("i-0");
      fleet.run(OUTAGE.plus(fleet.randomDuration(PAUSE_BETWEEN_BURSTS)));
      fleet.endRefusals();
      fleet.run(REAPPEARANCE_TIME);
      fleet.register("i-0", false);
      fleet.run(CONVERGENCE_TIME);
      assertEquals(fleet.instancesThatExcluded("i-0"), List.of(), "seed " + seed);
    }
  }

  @Test
  public void testSubtreesOfUnresponsiveInstancesReceiveChangesInTime() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = begin(seed);
      for (int zone = 0; zone < ZONES; zone++) {
        fleet.makeUnresponsive(fleet.namesIn("zone-" + zone).subList(0, 3));
      }
      assertAppliedInTime(fleet, leave(fleet), seed);
    }
  }
}
