// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.OptionalDouble;
import org.oatlug.internal.limit.SharedRateLimit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against exceeding an advertised rate limit because only the instances that received it in
 * a response apply it, while the others continue to send without one.
 */
public class LimitFleetTest {
  private static final Duration SECOND = Duration.ofSeconds(1);

  /** The target time within which all reachable instances know the limit. */
  private static final Duration KNOWN_WITHIN = Duration.ofSeconds(3);

  @DataProvider
  Object[][] cases() {
    return new Object[][] {
      {3, 2, 0}, {7, 1, 1.1}, {3, 20, 0.5}, {3, 20, 1.1}, {3, 20, 20}, {5, 19, 1.1}, {5, 19, 20}
    };
  }

  @Test(dataProvider = "cases")
  public void testInstancesTogetherStayWithinLimit(int zones, int perZone, double rate) {
    LimitSimulation simulation = new LimitSimulation(StateExchangeFleet.of(zones, perZone, 1), 60);
    simulation.advertise(OptionalDouble.of(rate));
    simulation.run(SECOND.multipliedBy(40));
    assertWithinLimit(simulation, rate);
    assertTrue(
        simulation.sentWithin(SECOND.multipliedBy(30)) >= 0.9 * 30 * rate, "too few requests");
  }

  @Test(dataProvider = "cases")
  public void testChangingLimitIsApplied(int zones, int perZone, double rate) {
    LimitSimulation simulation = new LimitSimulation(StateExchangeFleet.of(zones, perZone, 2), 60);
    for (int second = 0; second < 20; second++) {
      simulation.advertise(OptionalDouble.of(rate * (second % 2 + 1) / 2));
      simulation.run(SECOND);
    }
    assertWithinLimit(simulation, rate);
  }

  @Test(dataProvider = "cases")
  public void testEndOfLimitReachesAllInstances(int zones, int perZone, double rate) {
    LimitSimulation simulation = new LimitSimulation(StateExchangeFleet.of(zones, perZone, 3), 60);
    simulation.advertise(OptionalDouble.of(rate));
    simulation.run(SECOND.multipliedBy(10));
    simulation.advertise(OptionalDouble.empty());
    simulation.run(SECOND.multipliedBy(2).plus(KNOWN_WITHIN));
    assertEquals(simulation.limitedInstances(), 0, "instances that still know a limit");
  }

  @Test(dataProvider = "cases")
  public void testLimitIsAppliedWhenOneInstanceHasRequests(int zones, int perZone, double rate) {
    LimitSimulation simulation = new LimitSimulation(StateExchangeFleet.of(zones, perZone, 7), 60);
    simulation.advertise(OptionalDouble.of(rate));
    simulation.run(SECOND.multipliedBy(10));
    simulation.sendOnlyFrom(instance -> instance.name().equals("entry-0-0"));
    simulation.run(SECOND.multipliedBy(30));
    assertWithinLimit(simulation, rate);
  }

  /**
   * Guards against a limit that never ends because the instances whose turn it is to send have no
   * requests and so receive no response without the limit.
   */
  @Test(dataProvider = "cases")
  public void testEndOfLimitReachesAllWhenOneInstanceHasRequests(
      int zones, int perZone, double rate) {
    LimitSimulation simulation = new LimitSimulation(StateExchangeFleet.of(zones, perZone, 6), 60);
    simulation.advertise(OptionalDouble.of(rate));
    simulation.run(SECOND.multipliedBy(10));
    simulation.sendOnlyFrom(instance -> instance.name().equals("entry-0-0"));
    simulation.advertise(OptionalDouble.empty());
    simulation.run(SharedRateLimit.ROTATION_INTERVAL.multipliedBy(perZone + 1));
    assertEquals(simulation.limitedInstances(), 0, "instances that still know a limit");
  }

  @Test(dataProvider = "cases")
  public void testLimitReachesInstancesWithoutResponseInTime(int zones, int perZone, double rate) {
    StateExchangeFleet fleet = StateExchangeFleet.of(zones, perZone, 4);
    fleet.run(SECOND);
    fleet.instances().get(perZone - 1).limits.advertised("i-1@1", rate);
    fleet.run(KNOWN_WITHIN);
    assertKnown(fleet, rate);
  }

  @Test(dataProvider = "cases")
  public void testLimitReachesZoneAfterPartition(int zones, int perZone, double rate) {
    StateExchangeFleet fleet = StateExchangeFleet.of(zones, perZone, 5);
    fleet.partition("zone-1", true);
    fleet.run(SECOND);
    fleet.instances().get(0).limits.advertised("i-1@1", rate);
    fleet.run(SECOND.multipliedBy(8));
    fleet.partition("zone-1", false);
    fleet.run(SECOND.multipliedBy(2).plus(KNOWN_WITHIN));
    assertKnown(fleet, rate);
  }

  private static void assertKnown(StateExchangeFleet fleet, double rate) {
    for (StateExchangeFleet.Instance instance : fleet.instances()) {
      assertEquals(instance.limits.rateOf("i-1@1"), OptionalDouble.of(rate), instance.name());
    }
  }

  private static void assertWithinLimit(LimitSimulation simulation, double rate) {
    double allowed = 6 * rate + 5;
    assertTrue(
        simulation.maximumCounted() <= allowed,
        simulation.maximumCounted() + " requests in 4 s, allowed " + allowed);
  }
}
