// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.oatlug.internal.limit.DemandMeter.Demand;
import org.testng.annotations.Test;

/** Tests the shares of workspaces, and that the memory for their demand is bounded. */
public class FairSharesTest {
  private static Demand demand(double demand, double usual) {
    return new Demand(demand, usual, 0);
  }

  /** Guards against a share that ignores weights, or that leaves unused what others leave. */
  @Test
  public void testWhatOthersLeaveIsSplitByWeight() {
    Map<String, Demand> demands = new TreeMap<>();
    List.of("a", "b", "c").forEach(name -> demands.put(name, demand(20, 20)));
    demands.put("idle", demand(10, 100));
    demands.put("slight", demand(25, 20));
    demands.put("heavy", demand(300, 20));
    demands.put("light", demand(300, 20));
    Map<String, Double> shares = FairShares.of(demands, name -> name.equals("heavy") ? 4 : 1);
    // Of the 90 that are left, 5 suffice for one workspace, and 85 are split 4 to 1.
    assertEquals(
        shares,
        Map.of(
            "a", 20.0, "b", 20.0, "c", 20.0, "idle", 100.0, "slight", 37.0, "heavy", 88.0, "light",
            37.0));
  }

  /** Guards against memory that grows with the names of workspaces, and the loss of large ones. */
  @Test
  public void testLargeWorkspacesAreKeptAmongMany() {
    DemandMeter meter = DemandMeter.create();
    Instant now = Instant.parse("2026-12-02T12:00:00Z");
    for (int step = 0; step < 2000; step++) {
      now = now.plus(Duration.ofMillis(10));
      meter.record("large", 10, now);
      meter.record("small-" + step, 1, now);
    }
    assertEquals(meter.demands().size(), 256);
    assertTrue(meter.demandOf("large").demand() > 900);
    // A clock that goes back has no effect.
    assertTrue(!meter.advance(now.minusSeconds(5)));
  }
}
