// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.function.IntPredicate;
import org.oatlug.internal.gather.StateExchangeFleet.Instance;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that one workspace of 24 with six times its demand costs the others nothing. */
public class WorkspaceSharesFleetTest {
  private static final long SEED = 5;
  private static final Duration USUAL = Duration.ofSeconds(30);
  private static final Duration JUMP = Duration.ofSeconds(20);
  private static final double JUMP_FACTOR = 6;
  private static final double MAXIMUM_LOSS = 0.02;
  private static final IntPredicate OTHERS = workspace -> workspace != ShareSimulation.JUMPING;
  private static final IntPredicate LARGE = workspace -> workspace < ShareSimulation.LARGE;

  private static ShareSimulation simulation(int zones, int perZone) {
    return new ShareSimulation(zones, perZone, true, 1.05, SEED);
  }

  /** Zones and instances in each. */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{3, 2}, {1, 61}, {5, 19}};
  }

  private static void assertOthersKept(ShareSimulation simulation) {
    double loss = simulation.lostOf(OTHERS);
    assertTrue(loss <= MAXIMUM_LOSS, "the others lost " + loss);
  }

  /** Guards against one workspace that takes the capacity of the others. */
  @Test(dataProvider = "sizes")
  public void testJumpOfOneWorkspaceCostsOthersNothing(int zones, int perZone) {
    ShareSimulation simulation = simulation(zones, perZone);
    simulation.run(USUAL, 1);
    simulation.run(JUMP, JUMP_FACTOR);
    assertOthersKept(simulation);
    assertEquals(simulation.lostOf(LARGE), 0.0);
    assertTrue(simulation.heldOf(LARGE) <= MAXIMUM_LOSS, "held " + simulation.heldOf(LARGE));
    // The simulation without shares loses most in this span.
    simulation.run(Duration.ofSeconds(10), JUMP_FACTOR);
    assertOthersKept(simulation);
  }

  /** Shows that the simulation loses requests without shares. */
  @Test
  public void testWithoutSharesOthersLose() {
    ShareSimulation simulation = new ShareSimulation(3, 2, false, 1.05, SEED);
    simulation.run(USUAL, 1);
    simulation.run(Duration.ofSeconds(10), JUMP_FACTOR);
    simulation.run(JUMP, JUMP_FACTOR);
    assertTrue(simulation.lostOf(OTHERS) > 2 * MAXIMUM_LOSS, "" + simulation.lostOf(OTHERS));
  }

  /** Guards against holding requests back while capacity is left. */
  @Test
  public void testNothingIsHeldBackWhileCapacityIsNotShort() {
    ShareSimulation simulation = new ShareSimulation(3, 2, true, 2, SEED);
    simulation.run(USUAL, 1);
    simulation.run(JUMP, JUMP_FACTOR);
    assertEquals(simulation.heldOf(workspace -> true), 0.0);
  }

  /** Guards against shares that depend on one collector. */
  @Test
  public void testLossOfCollectorsCostsOthersNothing() {
    ShareSimulation simulation = simulation(5, 19);
    simulation.run(USUAL, 1);
    simulation.run(Duration.ofSeconds(4), JUMP_FACTOR);
    for (int zone = 0; zone < 3; zone++) {
      simulation.fleet.stop(simulation.fleet.collectorOf("zone-" + zone).name());
    }
    simulation.run(JUMP, JUMP_FACTOR);
    assertOthersKept(simulation);
  }

  /** Guards against taking the traffic of lost instances for a jump of every workspace. */
  @Test
  public void testLossOfHalfOfZoneCostsOthersNothing() {
    ShareSimulation simulation = simulation(3, 6);
    simulation.run(USUAL, 1);
    List<Instance> ofZone =
        simulation.fleet.instances().stream()
            .filter(instance -> instance.name().startsWith("entry-1-"))
            .toList();
    ofZone.subList(0, 3).forEach(instance -> simulation.fleet.stop(instance.name()));
    simulation.run(JUMP, JUMP_FACTOR);
    assertOthersKept(simulation);
    assertTrue(simulation.heldOf(OTHERS) <= MAXIMUM_LOSS, "held " + simulation.heldOf(OTHERS));
  }

  /** Guards against shares that hold everyone back, or nobody, after a restart of all instances. */
  @Test
  public void testJumpSoonAfterRestartOfAllCostsOthersNothing() {
    ShareSimulation simulation = simulation(5, 19);
    simulation.run(USUAL, 1);
    simulation.restartAll();
    simulation.run(Duration.ofSeconds(10), 1);
    simulation.run(JUMP, JUMP_FACTOR);
    assertOthersKept(simulation);
  }

  /** Guards against grants of over twice the share while no instance hears another. */
  @Test(dataProvider = "sizes")
  public void testWithoutReportsJumpingWorkspaceGetsAtMostTwiceItsShare(int zones, int perZone) {
    ShareSimulation simulation = simulation(zones, perZone);
    simulation.run(USUAL, 1);
    simulation.stopReports();
    simulation.run(Duration.ofSeconds(4), JUMP_FACTOR);
    simulation.run(JUMP, JUMP_FACTOR);
    double within = 1 - simulation.heldOf(workspace -> workspace == ShareSimulation.JUMPING);
    assertTrue(within * JUMP_FACTOR <= 2, within * JUMP_FACTOR + " times its share");
  }
}
