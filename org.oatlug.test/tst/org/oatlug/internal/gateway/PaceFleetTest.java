// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.OptionalDouble;
import org.oatlug.gateway.GatewaySettings.Switch;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Replays engines of different pace in virtual time, with and without paces in use. */
public class PaceFleetTest {
  private static final long SEED = 20_261_204;
  private static final Duration WARM_UP = Duration.ofSeconds(6);
  private static final Duration MEASURED = Duration.ofSeconds(8);
  private static final int WINDOW_MILLIS = 200;

  /** Returns numbers of instances. */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{6}, {61}, {95}};
  }

  private static PaceSimulation warmedUp(int instances, Switch state) {
    PaceSimulation simulation = new PaceSimulation(instances, state, SEED);
    simulation.load(0.9, WARM_UP);
    simulation.resetMeasurements();
    return simulation;
  }

  private static PaceSimulation measured(int instances, Switch state) {
    PaceSimulation simulation = warmedUp(instances, state);
    simulation.load(0.9, MEASURED);
    return simulation;
  }

  /**
   * A quarter of the engines is twice as fast. Guards against requests that are sent to slow
   * engines as often as to fast ones, and against instances that all follow the same report.
   */
  @Test(dataProvider = "sizes")
  public void testWorkFollowsPaceAndResponsesBeginEarlier(int instances) {
    PaceSimulation before = measured(instances, Switch.OFF);
    PaceSimulation paced = measured(instances, Switch.AUTO);
    assertTrue(
        paced.percentile95() <= before.percentile95() / 2,
        before.summary() + " becomes " + paced.summary());
    double ratio =
        paced.meanArrivals(PaceSimulation.FAST) / paced.meanArrivals(PaceSimulation.SLOW);
    double expected = PaceSimulation.SLOW / PaceSimulation.FAST;
    assertEquals(ratio, expected, 0.15 * expected, paced.summary());
    assertTrue(
        paced.highestShare(WINDOW_MILLIS) < before.highestShare(WINDOW_MILLIS),
        before.summary() + " becomes " + paced.summary());
  }

  /** Guards against engines that attract or avoid work by what they report about themselves. */
  @Test
  public void testFalseReportsAreOutweighedByObservedTimes() {
    PaceSimulation simulation = new PaceSimulation(61, Switch.AUTO, SEED);
    PaceSimulation.Engine boasting = simulation.engines.get(1);
    PaceSimulation.Engine complaining = simulation.engines.get(2);
    boasting.falseSlowdown = OptionalDouble.of(0.05);
    complaining.falseSlowdown = OptionalDouble.of(20);
    PaceSimulation.Engine idle = simulation.engines.get(3);
    idle.reportsNoLoad = true;
    simulation.load(0.9, WARM_UP);
    simulation.resetMeasurements();
    simulation.load(0.9, MEASURED);
    double honest = simulation.meanArrivals(PaceSimulation.SLOW);
    assertTrue(boasting.arrivals.size() < 1.5 * honest, boasting.arrivals.size() + " " + honest);
    assertTrue(idle.arrivals.size() < 1.5 * honest, idle.arrivals.size() + " " + honest);
    assertTrue(complaining.arrivals.size() > honest / 2, "" + complaining.arrivals.size());
  }

  /** Guards against paces that need the reports of other instances. */
  @Test
  public void testStoppedReportsLeaveOwnObservations() {
    double[] percentiles = new double[2];
    for (Switch state : new Switch[] {Switch.OFF, Switch.AUTO}) {
      PaceSimulation simulation = warmedUp(61, state);
      simulation.stopExchange();
      simulation.load(0.9, MEASURED);
      percentiles[state.ordinal()] = simulation.percentile95();
    }
    assertTrue(percentiles[1] < percentiles[0], percentiles[1] + " not under " + percentiles[0]);
  }
}
