// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.cascade;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * Guards against urgent requests that keep poor responses while engines are idle, and against
 * escalations that a loaded pool cannot bear.
 */
public class EscalationDelayTest {
  @Test
  public void testDelayCountsByUtilizationAndUrgency() {
    assertEquals(EscalationDelay.weight(0, 1), 0.0, "idle engines delay nobody");
    assertEquals(EscalationDelay.weight(0.25, 1), 0.5);
    assertEquals(EscalationDelay.weight(0.25, 0.5), 0.25, "less urgent work does not count");
    assertEquals(EscalationDelay.weight(0.5, 1), 1.0);
    assertEquals(EscalationDelay.weight(3, 1), 1.0, "no more than the usual weight");
  }

  /** A jump of load must lower the escalations of every rank, the least urgent first. */
  @Test
  public void testWeightRisesWithLoadAndFallsWithUrgency() {
    double previous = 0;
    for (double utilization = 0.05; utilization < 0.5; utilization += 0.05) {
      double weight = EscalationDelay.weight(utilization, 1);
      assertTrue(weight > previous, "utilization " + utilization);
      assertTrue(EscalationDelay.weight(utilization, 0.3) < weight, "less work is as urgent");
      previous = weight;
    }
  }
}
