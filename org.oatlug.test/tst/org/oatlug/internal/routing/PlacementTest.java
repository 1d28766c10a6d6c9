// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.oatlug.internal.engine.FirstTokenForecast;
import org.testng.annotations.Test;

/** Tests the cost of upstreams, the detection of unreachable zones and the priority of prompts. */
public class PlacementTest {
  private static final FirstTokenForecast IDLE = new FirstTokenForecast(0, 300, 4000, true);
  private static final int BODY_BYTES = 17_000;

  private final Instant now = Instant.parse("2026-12-02T12:00:00Z");

  private static double cost(FirstTokenForecast forecast, boolean otherZone, boolean avoided) {
    return PlacementCost.of(
        new PlacementCost.UpstreamState(forecast, 0, 8, otherZone, 0, false, avoided), BODY_BYTES);
  }

  @Test
  public void testPrefillIsRepeatedRatherThanWaitingLongForCachedPrompt() {
    FirstTokenForecast cachedAtBusyUpstream = new FirstTokenForecast(3000, 300, 4000, true);
    FirstTokenForecast repeatedPrefill = new FirstTokenForecast(0, 1300, 17_000, true);
    assertTrue(cost(repeatedPrefill, false, false) < cost(cachedAtBusyUpstream, false, false));
    FirstTokenForecast cachedAtLessBusyUpstream = new FirstTokenForecast(1000, 300, 4000, true);
    assertTrue(
        cost(cachedAtLessBusyUpstream, false, false) < cost(repeatedPrefill, false, false),
        "repeating the prefill also delays queued requests");
  }

  @Test
  public void testCrossZoneCostGrowsWithBytes() {
    double crossZoneCost = cost(IDLE, true, false);
    assertEquals(
        crossZoneCost - cost(IDLE, false, false), PlacementCost.crossZoneMillis(BODY_BYTES));
    assertTrue(PlacementCost.crossZoneMillis(BODY_BYTES) > PlacementCost.crossZoneMillis(900));
    double plainServiceCost =
        cost(FirstTokenForecast.NONE, true, false) - cost(FirstTokenForecast.NONE, false, false);
    assertTrue(
        plainServiceCost > PlacementCost.crossZoneMillis(900),
        "requests to a plain service stay in their zone");
  }

  @Test
  public void testEjectedUpstreamHasHighestCost() {
    FirstTokenForecast busy = new FirstTokenForecast(20_000, 2000, 17_000, true);
    assertTrue(cost(busy, true, false) < cost(IDLE, false, true));
  }

  @Test
  public void testZoneIsUnreachableAfterFailedConnectionsToTwoUpstreams() {
    ZoneReachability zones = ZoneReachability.create();
    zones.recordConnectFailure("far", "i-1", now);
    zones.recordConnectFailure("far", "i-1", now);
    assertFalse(zones.isUnreachable("far", now), "one upstream may have crashed");
    zones.recordConnectFailure("far", "i-2", now.plusMillis(100));
    assertTrue(zones.isUnreachable("far", now.plusMillis(100)));
    assertFalse(zones.isUnreachable("near", now));
    Instant later = now.plusMillis(101).plus(ZoneReachability.FAILURE_VALIDITY);
    assertFalse(zones.isUnreachable("far", later), "the next request tries the zone again");
    zones.recordConnectFailure("far", "i-2", later);
    assertTrue(zones.isUnreachable("far", later), "a single failure suffices then");
    zones.recordResponse("far");
    assertFalse(zones.isUnreachable("far", later));
  }

  @Test
  public void testFailuresFarApartDoNotMakeZoneUnreachable() {
    ZoneReachability zones = ZoneReachability.create();
    zones.recordConnectFailure("far", "i-1", now);
    Instant later = now.plusSeconds(20);
    zones.recordConnectFailure("far", "i-2", later);
    assertFalse(zones.isUnreachable("far", later));
  }

  @Test
  public void testShortPromptsPrecedeLongOnesWithinPriorityRange() {
    FirstTokenForecast shortPrompt = new FirstTokenForecast(5000, 50, 400, true);
    FirstTokenForecast longPrompt = new FirstTokenForecast(0, 900, 11_000, true);
    assertEquals(
        RequestPriority.of(2, shortPrompt, 4000), 2, "the wait in the queue does not count");
    assertTrue(RequestPriority.of(0, longPrompt, 4000) > RequestPriority.of(2, shortPrompt, 4000));
    assertTrue(RequestPriority.of(0, longPrompt, 4000) < RequestPriority.of(1, longPrompt, 4000));
    assertEquals(RequestPriority.of(9, longPrompt, 4000), 9);
    assertEquals(RequestPriority.of(1, FirstTokenForecast.NONE, 0), 1);
  }
}
