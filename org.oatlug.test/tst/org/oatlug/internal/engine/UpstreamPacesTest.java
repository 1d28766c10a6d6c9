// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests that lasting paces are kept apart from momentary slowdowns, and end with the process. */
public class UpstreamPacesTest {
  private Instant now = Instant.parse("2026-12-04T12:00:00Z");

  /** Records responses of four engines, of which the first has a pace. */
  private UpstreamPaces observed(double pace) {
    UpstreamPaces paces = UpstreamPaces.create();
    for (int response = 0; response < 8; response++) {
      for (int engine = 0; engine < 4; engine++) {
        now = now.plusMillis(20);
        double millis = 100 * (engine == 0 ? pace : 1);
        paces.recordCompared("interval", "pool/m", "i-" + engine + "@1", millis, now);
      }
    }
    return paces;
  }

  /** Guards against a restarted upstream that is judged by its earlier process. */
  @Test
  public void testRestartedUpstreamBeginsAtPaceOne() {
    UpstreamPaces paces = observed(0.5);
    assertEquals(paces.lastingPaceOf("i-0@1", now), 0.5, 0.05);
    assertEquals(paces.lastingPaceOf("i-0@2", now), 1.0);
    assertTrue(paces.takeChange("i-0@1", now).isPresent());
    assertFalse(paces.takeChange("i-0@1", now).isPresent(), "the change was already returned");
    now = now.plusSeconds(10);
    assertEquals(paces.lastingPaceOf("i-0@1", now), 1.0);
    assertEquals(paces.observed(now), Map.of());
  }

  /** Guards against a momentary slowdown that is taken for lasting, or lasts without reports. */
  @Test
  public void testMomentarySlowdownFadesAndLeavesLastingPace() {
    UpstreamPaces paces = observed(1);
    paces.recordReported("pool", "i-0@1", 2.5, now);
    assertTrue(paces.reportsSlowdown("pool"));
    assertFalse(paces.reportsSlowdown("desk"));
    assertEquals(paces.lastingPaceOf("i-0@1", now), 1, 0.01);
    assertEquals(paces.momentarySlowdownOf("i-0@1", now), 2.5, 0.01);
    assertTrue(paces.momentarySlowdownOf("i-0@1", now.plusMillis(300)) < 1.6);
    assertEquals(paces.momentarySlowdownOf("i-0@1", now.plusMillis(600)), 1.0);
  }

  /** Guards against reports of other instances that outlive the exchange. */
  @Test
  public void testReportedPaceIsJoinedAndEnds() {
    UpstreamPaces paces = UpstreamPaces.create();
    paces.applyReported(Map.of("i-0@1", new UpstreamPaces.Pace(2, 30)), now);
    assertEquals(paces.lastingPaceOf("i-0@1", now), 2, 0.1);
    assertEquals(paces.lastingPaceOf("i-0@1", now.plusSeconds(3)), 1.0);
    assertEquals(paces.observed(now), Map.of(), "reports of others must not be reported again");
  }
}
