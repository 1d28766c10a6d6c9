// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.oatlug.config.Workspace;
import org.oatlug.internal.gather.StateExchangeFleet.Instance;
import org.oatlug.internal.limit.WorkspaceLimits;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that instances that exchange their demand split the rate of a workspace by it. */
public class WorkspaceLimitsFleetTest {
  private static final long SEED = 12;
  private static final Duration STEP = Duration.ofMillis(20);
  private static final Duration SPAN = Duration.ofSeconds(20);
  private static final double HEADROOM = 1.2;

  /** Instances in virtual time, each with its limits, and the requests that they granted. */
  private static final class Simulation {
    final StateExchangeFleet fleet;
    private final Map<Instance, WorkspaceLimits> limits = new HashMap<>();
    private final Workspace workspace;
    private int asked;
    private int granted;

    Simulation(int zones, int instancesPerZone, double rate) {
      fleet = StateExchangeFleet.of(zones, instancesPerZone, SEED);
      workspace = new Workspace(List.of(), "", rate, 0);
      Random random = new Random(SEED);
      int count = fleet.instances().size();
      for (Instance instance : fleet.instances()) {
        WorkspaceLimits own = WorkspaceLimits.create(() -> count, random);
        LimitParticipant participant = LimitParticipant.of(own, fleet.clock());
        limits.put(instance, own);
        instance.load = () -> participant.localReport().load();
        instance.listener = participant::applyReported;
      }
    }

    /** Sends requests every so many steps to the chosen instances; returns how many passed. */
    int run(Duration duration, int steps, Predicate<Instance> receives) {
      int before = granted;
      asked = 0;
      List<Instance> receivers =
          new ArrayList<>(fleet.instances().stream().filter(receives).toList());
      long count = duration.dividedBy(STEP);
      for (int step = 0; step < count; step++) {
        fleet.run(STEP);
        for (Instance instance : receivers) {
          // The instances are asked at different steps.
          if (Math.floorMod(step + instance.name().hashCode(), steps) == 0) {
            asked++;
            boolean passes =
                limits.get(instance).take("desk", workspace, fleet.clock().instant()).isEmpty();
            granted += passes ? 1 : 0;
          }
        }
      }
      return granted - before;
    }
  }

  /** Zones, instances in each, and the rate of the workspace. */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{3, 2, 10.0}, {1, 61, 5.0}, {1, 95, 5.0}};
  }

  private static double allowed(double rate) {
    return HEADROOM * rate * (SPAN.toSeconds() + 1);
  }

  /** Guards against instances that each take the part of a workspace that others take as well. */
  @Test(dataProvider = "sizes")
  public void testDemandEverywhereKeepsToRate(int zones, int perZone, double rate) {
    Simulation simulation = new Simulation(zones, perZone, rate);
    simulation.run(Duration.ofSeconds(3), 5, instance -> true);
    int sum = 0;
    for (int span = 0; span < 3; span++) {
      int granted = simulation.run(SPAN, 5, instance -> true);
      assertTrue(granted <= allowed(rate), granted + " of " + allowed(rate));
      sum += granted;
    }
    // After a rest each bucket owes up to a token more once, so that they do not stay in phase.
    double least = 3 * rate * SPAN.toSeconds() - simulation.fleet.instances().size();
    assertTrue(sum >= least, sum + " granted, at least " + least);
  }

  /** Guards against an even split, which refuses the traffic of a single connection. */
  @Test(dataProvider = "sizes")
  public void testDemandAtOneInstanceIsGrantedWhole(int zones, int perZone, double rate) {
    Simulation simulation = new Simulation(zones, perZone, rate);
    Instance only = simulation.fleet.instances().get(1);
    int steps = (int) (1000 / STEP.toMillis() / rate);
    simulation.run(Duration.ofSeconds(4), steps, only::equals);
    int granted = simulation.run(SPAN, steps, only::equals);
    assertEquals(granted, simulation.asked);
    // The demand moves to another instance: the sum keeps to the rate, and it is granted again.
    Instance next = simulation.fleet.instances().get(4);
    int moved = simulation.run(SPAN, 1, next::equals);
    assertTrue(moved <= allowed(rate), moved + " of " + allowed(rate));
    simulation.run(Duration.ofSeconds(1), steps, next::equals);
    int later = simulation.run(SPAN, steps, next::equals);
    assertEquals(later, simulation.asked);
  }

  /** Guards against groups of instances that each take the whole rate. */
  @Test
  public void testPartitionedZonesKeepToTwiceTheRate() {
    double rate = 5;
    Simulation simulation = new Simulation(5, 19, rate);
    simulation.run(Duration.ofSeconds(5), 5, instance -> true);
    for (int zone = 0; zone < 5; zone++) {
      simulation.fleet.partition("zone-" + zone, true);
    }
    int granted = simulation.run(SPAN, 5, instance -> true);
    assertTrue(granted <= 2 * allowed(rate), granted + " of " + 2 * allowed(rate));
  }

  /** Guards against a part that grows beyond the rate when the collector or instances are lost. */
  @Test
  public void testLostInstancesLeaveTheRateToTheOthers() {
    double rate = 20;
    Simulation simulation = new Simulation(3, 6, rate);
    simulation.run(Duration.ofSeconds(5), 5, instance -> true);
    simulation.fleet.stop(simulation.fleet.collectorOf("zone-0").name());
    List<Instance> ofZone =
        simulation.fleet.instances().stream()
            .filter(instance -> instance.name().startsWith("entry-1-"))
            .toList();
    ofZone.subList(0, 3).forEach(instance -> simulation.fleet.stop(instance.name()));
    ToIntFunction<Duration> runLive =
        duration ->
            simulation.run(duration, 5, instance -> !simulation.fleet.isStopped(instance.name()));
    int during = runLive.applyAsInt(SPAN);
    assertTrue(during <= allowed(rate), during + " of " + allowed(rate));
    int after = runLive.applyAsInt(SPAN);
    assertTrue(after >= 0.9 * rate * SPAN.toSeconds(), after + " granted");
  }
}
