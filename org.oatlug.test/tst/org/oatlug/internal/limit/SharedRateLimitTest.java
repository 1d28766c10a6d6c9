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
import org.oatlug.benchmarks.RateFleet;
import org.oatlug.internal.limit.SharedRateLimit.Target;

/**
 * Tests that all instances together keep to the limit of an upstream that is cold or advertises
 * one, even if they disagree on the membership.
 *
 * <p>Load pattern: the upstreams of a zone restart together and every instance prefers them, while
 * instances are partitioned, restarted, paused or added.
 */
class SharedRateLimitTest {
  private static final String SEED = "20261203";
  private static final double COLD_BOUND_PER_SECOND = 20;
  private static final double[] ADVERTISED_PER_SECOND = {0.5, 1.1, 20};

  /** Pairs of a number of zones and a number of instances in each. */
  private static final int[][] SIZES = {{3, 2}, {7, 1}, {3, 20}, {5, 19}};

  private static final int UPSTREAMS = 4;
  private static final Duration SETTLING_TIME = Duration.ofSeconds(12);
  private static final Duration COLD_PERIOD = Duration.ofSeconds(3);
  private static final Instant START = Instant.parse("2026-12-03T12:00:00Z");

  private static Target cold(double bound) {
    return Target.cold("i-1@1000", "here", bound);
  }

  @Property(tries = 40, seed = SEED)
  void testFleetKeepsToColdBoundInAnySecond(@ForAll long fleetSeed) {
    Random random = new Random(fleetSeed);
    int zones = 1 + random.nextInt(4);
    int perZone = 1 + random.nextInt(12);
    RateFleet fleet =
        RateFleet.ofCold(RateFleet.RANKED_COLD, COLD_BOUND_PER_SECOND, zones, perZone, fleetSeed);
    fleet.run(SETTLING_TIME);
    for (int round = 0; round < 3; round++) {
      fleet.replaceUpstreams(UPSTREAMS);
      for (int disturbance = 0; disturbance < 3; disturbance++) {
        disturb(fleet, random, zones * perZone);
        fleet.run(COLD_PERIOD.dividedBy(1 + random.nextInt(4)));
      }
      assertTrue(
          fleet.maximumInSpan() <= COLD_BOUND_PER_SECOND, "in a second " + fleet.maximumInSpan());
    }
  }

  private static void disturb(RateFleet fleet, Random random, int instances) {
    switch (random.nextInt(5)) {
      case 0 -> fleet.partition(1 + random.nextInt(8));
      case 1 -> fleet.restart(random.nextDouble());
      case 2 -> fleet.pause(random.nextDouble());
      case 3 -> fleet.add(instances);
      default -> fleet.partition(1);
    }
  }

  /**
   * Guards against limits per instance, which the fleet exceeds as many times over as it has
   * instances.
   */
  @Property(tries = 30, seed = SEED)
  void testFleetKeepsToAdvertisedLimitInAnySpan(@ForAll long fleetSeed) {
    Random random = new Random(fleetSeed);
    int[] size = SIZES[random.nextInt(SIZES.length)];
    double rate = ADVERTISED_PER_SECOND[random.nextInt(ADVERTISED_PER_SECOND.length)];
    RateFleet fleet =
        RateFleet.ofLimited(RateFleet.RANKED_LIMITED, rate, size[0], size[1], fleetSeed);
    fleet.run(SETTLING_TIME);
    for (int round = 0; round < 2; round++) {
      fleet.replaceUpstreams(UPSTREAMS);
      for (int disturbance = 0; disturbance < 4; disturbance++) {
        disturb(fleet, random, size[0] * size[1]);
        fleet.run(Duration.ofMillis(500 + random.nextInt(4000)));
      }
      double allowed = 6 * rate + 5;
      assertTrue(
          fleet.maximumInSpan() <= allowed, "in 4 s " + fleet.maximumInSpan() + " of " + allowed);
    }
  }

  @Property(tries = 12, seed = SEED)
  void testFleetKeepsToLimitThatChangesEverySecond(@ForAll long fleetSeed) {
    Random random = new Random(fleetSeed);
    int[] size = SIZES[random.nextInt(SIZES.length)];
    RateFleet fleet =
        RateFleet.ofLimited(RateFleet.RANKED_LIMITED, 20, size[0], size[1], fleetSeed);
    fleet.run(SETTLING_TIME);
    fleet.replaceUpstreams(UPSTREAMS);
    for (int second = 0; second < 12; second++) {
      fleet.advertise(20 * random.nextDouble());
      fleet.run(Duration.ofSeconds(1));
    }
    assertTrue(fleet.maximumInSpan() <= 6 * 20 + 5, "in 4 s " + fleet.maximumInSpan());
  }

  /** An upstream that limits its rate receives the full rate that it accepts. */
  @Property(tries = 1, seed = SEED)
  void testStableFleetUsesAdvertisedLimit() {
    for (int[] size : SIZES) {
      for (double rate : ADVERTISED_PER_SECOND) {
        RateFleet fleet = RateFleet.ofLimited(RateFleet.RANKED_LIMITED, rate, size[0], size[1], 1);
        fleet.run(SETTLING_TIME);
        fleet.stepBy(Duration.ofMillis(4));
        fleet.replaceUpstreams(UPSTREAMS);
        fleet.run(Duration.ofSeconds(20));
        String what = size[0] * size[1] + " instances, limit " + rate + ", used ";
        assertTrue(fleet.usedShare() > 0.9, what + fleet.usedShare());
        assertTrue(fleet.firstMillis().orElseThrow() < 100, what);
      }
    }
  }

  /** Without probes no instance would learn that a limit of zero has ended. */
  @Property(tries = 1, seed = SEED)
  void testUpstreamThatAcceptsNothingIsProbed() {
    SharedRateLimit limit = SharedRateLimit.create(SenderSelection.ALONE);
    Target target = Target.advertised("i-1@1000", "here", new AdvertisedLimit(0, 0));
    assertEquals(target.senders(), 1);
    for (int probe = 0; probe < 2; probe++) {
      assertTrue(limit.allows(target, START));
      limit.acquire(target).written(START);
    }
    assertFalse(limit.allows(target, START.plusMillis(4000)));
    assertTrue(limit.allows(target, START.plusMillis(4001)));
  }

  /** Requests that are written late count at the time of writing. */
  @Property(tries = 300, seed = SEED)
  void testInstanceKeepsToBoundInAnySecond(
      @ForAll long fleetSeed, @ForAll @IntRange(min = 1, max = 40) int bound) {
    Random random = new Random(fleetSeed);
    SharedRateLimit limit = SharedRateLimit.create(SenderSelection.ALONE);
    List<Instant> written = new ArrayList<>();
    List<SharedRateLimit.Permit> pending = new ArrayList<>();
    Instant now = START;
    for (int step = 0; step < 200; step++) {
      now = now.plusMillis(random.nextInt(300));
      if (limit.allows(cold(bound), now)) {
        pending.add(limit.acquire(cold(bound)));
      }
      if (!pending.isEmpty() && random.nextBoolean()) {
        SharedRateLimit.Permit permit = pending.remove(random.nextInt(pending.size()));
        if (random.nextInt(4) == 0) {
          permit.release();
          permit.release();
        } else {
          permit.written(now);
          permit.release();
          written.add(now);
        }
      }
    }
    for (Instant from : written) {
      Instant until = from.plusSeconds(1);
      long count = written.stream().filter(at -> !at.isBefore(from) && at.isBefore(until)).count();
      assertTrue(
          count <= Math.min(bound, SharedRateLimit.MAXIMUM_COLD_PER_SECOND),
          "in a second " + count);
    }
  }

  @Property(tries = 1, seed = SEED)
  void testColdUpstreamThatAcceptsLessThanOnePerSecondReceivesNothing() {
    SharedRateLimit limit = SharedRateLimit.create(SenderSelection.ALONE);
    assertFalse(limit.allows(cold(0.9), START));
    assertEquals(cold(0.9).senders(), 0);
    assertEquals(cold(1).senders(), 1);
    assertEquals(cold(20).senders(), 5);
  }

  @Property(tries = 1, seed = SEED)
  void testReleasedPermitCanBeAcquiredAgain() {
    SharedRateLimit limit = SharedRateLimit.create(SenderSelection.ALONE);
    limit.acquire(cold(1)).release();
    assertTrue(limit.allows(cold(1), START));
    limit.acquire(cold(1)).written(START);
    assertFalse(limit.allows(cold(1), START.plusMillis(1000)));
    assertTrue(limit.allows(cold(1), START.plusMillis(1001)));
  }

  /** A stable fleet is not kept from cold upstreams: it uses half of their bound immediately. */
  @Property(tries = 1, seed = SEED)
  void testStableFleetUsesHalfOfColdBound() {
    RateFleet fleet = RateFleet.ofCold(RateFleet.RANKED_COLD, COLD_BOUND_PER_SECOND, 3, 20, 1);
    fleet.run(SETTLING_TIME);
    fleet.replaceUpstreams(UPSTREAMS);
    fleet.run(COLD_PERIOD);
    assertTrue(fleet.usedShare() > 0.45, "used " + fleet.usedShare());
    assertTrue(fleet.firstMillis().orElseThrow() < 100);
  }
}
