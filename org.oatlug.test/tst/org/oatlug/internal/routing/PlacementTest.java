// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.oatlug.internal.engine.HeadForecast;
import org.testng.annotations.Test;

/** Tests the cost of upstreams, the detection of unreachable zones and the priority of prompts. */
public class PlacementTest {
  private static final HeadForecast IDLE = new HeadForecast(0, 300, 4000, true);
  private static final int BODY_BYTES = 17_000;

  private final Instant now = Instant.parse("2026-12-02T12:00:00Z");

  private static double cost(HeadForecast forecast, boolean otherZone, boolean ejected) {
    return PlacementCost.of(
        new PlacementCost.Place(forecast, 0, 8, otherZone, 0, false, ejected), BODY_BYTES);
  }

  @Test
  public void testPrefillIsRepeatedRatherThanWaitingLongForCachedPrompt() {
    HeadForecast cachedAtBusyUpstream = new HeadForecast(3000, 300, 4000, true);
    HeadForecast repeatedPrefill = new HeadForecast(0, 1300, 17_000, true);
    assertTrue(cost(repeatedPrefill, false, false) < cost(cachedAtBusyUpstream, false, false));
    HeadForecast cachedAtLessBusyUpstream = new HeadForecast(1000, 300, 4000, true);
    assertTrue(
        cost(cachedAtLessBusyUpstream, false, false) < cost(repeatedPrefill, false, false),
        "repeating the prefill also delays queued requests");
  }

  @Test
  public void testCrossZoneCostGrowsWithBytes() {
    double crossZoneCost = cost(IDLE, true, false);
    assertEquals(
        crossZoneCost - cost(IDLE, false, false), PlacementCost.otherZoneOfEngine(BODY_BYTES));
    assertTrue(PlacementCost.otherZoneOfEngine(BODY_BYTES) > PlacementCost.otherZoneOfEngine(900));
    double plainServiceCost =
        cost(HeadForecast.NONE, true, false) - cost(HeadForecast.NONE, false, false);
    assertTrue(
        plainServiceCost > PlacementCost.otherZoneOfEngine(900),
        "requests to a plain service stay in their zone");
  }

  @Test
  public void testEjectedUpstreamHasHighestCost() {
    HeadForecast busy = new HeadForecast(20_000, 2000, 17_000, true);
    assertTrue(cost(busy, true, false) < cost(IDLE, false, true));
  }

  @Test
  public void testZoneIsUnreachableAfterFailedConnectionsToTwoUpstreams() {
    ZoneReach zones = ZoneReach.create();
    zones.notReached("far", "i-1", now);
    zones.notReached("far", "i-1", now);
    assertFalse(zones.isCutOff("far", now), "one upstream may have crashed");
    zones.notReached("far", "i-2", now.plusMillis(100));
    assertTrue(zones.isCutOff("far", now.plusMillis(100)));
    assertFalse(zones.isCutOff("near", now));
    Instant later = now.plusMillis(101).plus(ZoneReach.FAILURE_VALIDITY);
    assertFalse(zones.isCutOff("far", later), "the next request tries the zone again");
    zones.notReached("far", "i-2", later);
    assertTrue(zones.isCutOff("far", later), "a single failure suffices then");
    zones.reached("far");
    assertFalse(zones.isCutOff("far", later));
  }

  @Test
  public void testFailuresFarApartDoNotMakeZoneUnreachable() {
    ZoneReach zones = ZoneReach.create();
    zones.notReached("far", "i-1", now);
    Instant later = now.plusSeconds(20);
    zones.notReached("far", "i-2", later);
    assertFalse(zones.isCutOff("far", later));
  }

  @Test
  public void testShortPromptsPrecedeLongOnesWithinPriorityRange() {
    HeadForecast shortPrompt = new HeadForecast(5000, 50, 400, true);
    HeadForecast longPrompt = new HeadForecast(0, 900, 11_000, true);
    assertEquals(Urgency.of(2, shortPrompt, 4000), 2, "the wait in the queue does not count");
    assertTrue(Urgency.of(0, longPrompt, 4000) > Urgency.of(2, shortPrompt, 4000));
    assertTrue(Urgency.of(0, longPrompt, 4000) < Urgency.of(1, longPrompt, 4000));
    assertEquals(Urgency.of(9, longPrompt, 4000), 9);
    assertEquals(Urgency.of(1, HeadForecast.NONE, 0), 1);
  }
}
