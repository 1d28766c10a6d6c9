// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.oatlug.benchmarks.ColdFleet;

/**
 * Shows that cold upstreams get no more than they bear in any second, whatever the instances
 * believe of each other.
 *
 * <p>Load pattern: the upstreams of a zone come back together and every instance wants to send all
 * that it has to them, while instances are cut off, start, stand still or are added.
 */
class ColdLimitTest {
  private static final String SEED = "20261203";
  private static final double BOUND = 20;
  private static final int UPSTREAMS = 4;
  private static final Duration MEETING = Duration.ofSeconds(12);
  private static final Duration COLD = Duration.ofSeconds(3);
  private static final Instant START = Instant.parse("2026-12-03T12:00:00Z");

  private static ColdLimit.Place place(double bound) {
    return new ColdLimit.Place("i-1@1000", "here", bound);
  }

  @Property(tries = 40, seed = SEED)
  void testFleetStaysUnderTheBoundInAnySecond(@ForAll long chance) {
    Random random = new Random(chance);
    int zones = 1 + random.nextInt(4);
    int perZone = 1 + random.nextInt(12);
    ColdFleet fleet = ColdFleet.of(ColdFleet.RANKED, BOUND, zones, perZone, chance);
    fleet.run(MEETING);
    for (int round = 0; round < 3; round++) {
      fleet.turnCold(UPSTREAMS);
      for (int trouble = 0; trouble < 3; trouble++) {
        disturb(fleet, random, zones * perZone);
        fleet.run(COLD.dividedBy(1 + random.nextInt(4)));
      }
      assertTrue(fleet.worst() <= BOUND, "in a second " + fleet.worst());
    }
  }

  private static void disturb(ColdFleet fleet, Random random, int instances) {
    switch (random.nextInt(5)) {
      case 0 -> fleet.cut(1 + random.nextInt(8));
      case 1 -> fleet.restart(random.nextDouble());
      case 2 -> fleet.freeze(random.nextDouble());
      case 3 -> fleet.add(instances);
      default -> fleet.cut(1);
    }
  }

  /** Sends that are written late do not come together with those that were meant for later. */
  @Property(tries = 300, seed = SEED)
  void testOneInstanceWritesFewInAnySecond(
      @ForAll long chance, @ForAll @IntRange(min = 1, max = 40) int bound) {
    Random random = new Random(chance);
    ColdLimit limit = ColdLimit.create(ColdSenders.ALL);
    List<Instant> written = new ArrayList<>();
    List<ColdLimit.Permit> pending = new ArrayList<>();
    Instant now = START;
    for (int step = 0; step < 200; step++) {
      now = now.plusMillis(random.nextInt(300));
      if (limit.hasRoom(place(bound), now)) {
        pending.add(limit.take(place(bound)));
      }
      if (!pending.isEmpty() && random.nextBoolean()) {
        ColdLimit.Permit permit = pending.remove(random.nextInt(pending.size()));
        if (random.nextInt(4) == 0) {
          permit.giveBack();
          permit.giveBack();
        } else {
          permit.written(now);
          permit.giveBack();
          written.add(now);
        }
      }
    }
    for (Instant from : written) {
      Instant until = from.plusSeconds(1);
      long count = written.stream().filter(at -> !at.isBefore(from) && at.isBefore(until)).count();
      assertTrue(count <= Math.min(bound, ColdLimit.MOST_PER_SECOND), "in a second " + count);
    }
  }

  @Property(tries = 1, seed = SEED)
  void testUpstreamThatBearsLessThanOneGetsNothing() {
    ColdLimit limit = ColdLimit.create(ColdSenders.ALL);
    assertFalse(limit.hasRoom(place(0.9), START));
    assertEquals(place(0.9).senders(), 0);
    assertEquals(place(1).senders(), 1);
    assertEquals(place(20).senders(), 5);
  }

  @Property(tries = 1, seed = SEED)
  void testLeaveThatIsGivenBackCanBeTakenAgain() {
    ColdLimit limit = ColdLimit.create(ColdSenders.ALL);
    limit.take(place(1)).giveBack();
    assertTrue(limit.hasRoom(place(1), START));
    limit.take(place(1)).written(START);
    assertFalse(limit.hasRoom(place(1), START.plusMillis(1000)));
    assertTrue(limit.hasRoom(place(1), START.plusMillis(1001)));
  }

  /** A calm fleet is not kept from cold upstreams: half of the bound is used at once. */
  @Property(tries = 1, seed = SEED)
  void testCalmFleetUsesHalfOfTheBound() {
    ColdFleet fleet = ColdFleet.of(ColdFleet.RANKED, BOUND, 3, 20, 1);
    fleet.run(MEETING);
    fleet.turnCold(UPSTREAMS);
    fleet.run(COLD);
    assertTrue(fleet.usedShare() > 0.45, "used " + fleet.usedShare());
    assertTrue(fleet.firstMillis().orElseThrow() < 100);
  }
}
