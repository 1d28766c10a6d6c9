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

/** Only the instances that heard a limit kept to it, and the others went on. */
public class LimitFleetTest {
  private static final Duration SECOND = Duration.ofSeconds(1);

  /** Within this time everyone who is in touch has to know, by the aim. */
  private static final Duration IN_TOUCH = Duration.ofSeconds(3);

  @DataProvider
  Object[][] cases() {
    return new Object[][] {
      {3, 2, 0}, {7, 1, 1.1}, {3, 20, 0.5}, {3, 20, 1.1}, {3, 20, 20}, {5, 19, 1.1}, {5, 19, 20}
    };
  }

  @Test(dataProvider = "cases")
  public void testAllInstancesTogetherKeepToTheLimit(int zones, int perZone, double rate) {
    LimitScene scene = new LimitScene(GatherFleet.of(zones, perZone, 1), 60);
    scene.advertise(OptionalDouble.of(rate));
    scene.run(SECOND.multipliedBy(40));
    assertKept(scene, rate);
    assertTrue(scene.sentLast(SECOND.multipliedBy(30)) >= 0.9 * 30 * rate, "too few");
  }

  @Test(dataProvider = "cases")
  public void testLimitThatChangesIsKept(int zones, int perZone, double rate) {
    LimitScene scene = new LimitScene(GatherFleet.of(zones, perZone, 2), 60);
    for (int second = 0; second < 20; second++) {
      scene.advertise(OptionalDouble.of(rate * (second % 2 + 1) / 2));
      scene.run(SECOND);
    }
    assertKept(scene, rate);
  }

  @Test(dataProvider = "cases")
  public void testEndOfTheLimitIsLearnedByAll(int zones, int perZone, double rate) {
    LimitScene scene = new LimitScene(GatherFleet.of(zones, perZone, 3), 60);
    scene.advertise(OptionalDouble.of(rate));
    scene.run(SECOND.multipliedBy(10));
    scene.advertise(OptionalDouble.empty());
    scene.run(SECOND.multipliedBy(2).plus(IN_TOUCH));
    assertEquals(scene.limited(), 0, "still limited at instances");
  }

  @Test(dataProvider = "cases")
  public void testLimitIsKeptWhenOnlyOneInstanceHasRequests(int zones, int perZone, double rate) {
    LimitScene scene = new LimitScene(GatherFleet.of(zones, perZone, 7), 60);
    scene.advertise(OptionalDouble.of(rate));
    scene.run(SECOND.multipliedBy(10));
    scene.sendOnlyFrom(instance -> instance.name().equals("entry-0-0"));
    scene.run(SECOND.multipliedBy(30));
    assertKept(scene, rate);
  }

  /** The instances that should send had no requests, so nobody heard that the limit had ended. */
  @Test(dataProvider = "cases")
  public void testEndOfTheLimitIsLearnedWhoeverHasRequests(int zones, int perZone, double rate) {
    LimitScene scene = new LimitScene(GatherFleet.of(zones, perZone, 6), 60);
    scene.advertise(OptionalDouble.of(rate));
    scene.run(SECOND.multipliedBy(10));
    scene.sendOnlyFrom(instance -> instance.name().equals("entry-0-0"));
    scene.advertise(OptionalDouble.empty());
    scene.run(SharedRateLimit.TURN.multipliedBy(perZone + 1));
    assertEquals(scene.limited(), 0, "still limited at instances");
  }

  @Test(dataProvider = "cases")
  public void testInstancesThatHeardNoAnswerLearnTheLimitInTime(
      int zones, int perZone, double rate) {
    GatherFleet fleet = GatherFleet.of(zones, perZone, 4);
    fleet.run(SECOND);
    fleet.instances().get(perZone - 1).limits.advertised("i-1@1", rate);
    fleet.run(IN_TOUCH);
    assertKnown(fleet, rate);
  }

  @Test(dataProvider = "cases")
  public void testZoneThatWasCutOffLearnsTheLimitOnceItIsBack(int zones, int perZone, double rate) {
    GatherFleet fleet = GatherFleet.of(zones, perZone, 5);
    fleet.cut("zone-1", true);
    fleet.run(SECOND);
    fleet.instances().get(0).limits.advertised("i-1@1", rate);
    fleet.run(SECOND.multipliedBy(8));
    fleet.cut("zone-1", false);
    fleet.run(SECOND.multipliedBy(2).plus(IN_TOUCH));
    assertKnown(fleet, rate);
  }

  private static void assertKnown(GatherFleet fleet, double rate) {
    for (GatherFleet.Instance instance : fleet.instances()) {
      assertEquals(instance.limits.of("i-1@1"), OptionalDouble.of(rate), instance.name());
    }
  }

  private static void assertKept(LimitScene scene, double rate) {
    double allowed = 6 * rate + 5;
    assertTrue(scene.worst() <= allowed, scene.worst() + " in 4 s, allowed " + allowed);
  }
}
