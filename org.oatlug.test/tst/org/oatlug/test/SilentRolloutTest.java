// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a bad version that receives too many requests while the instances cannot exchange
 * their evidence against it.
 */
public class SilentRolloutTest {
  private static final Duration ROLLOUT_DURATION = Duration.ofSeconds(24);
  private static final Duration WARM_UP = Duration.ofSeconds(6);
  private static final int SESSIONS = 1000;
  private static final double FAILING_FRACTION = 0.5;

  /** The requests that the deployment allows beyond the share of its bounds. */
  private static final int ALLOWED_RESERVE = 30;

  /** Instances of each of three zones, and the fraction of the duration before the silence. */
  @DataProvider
  Object[][] sizesAndFractions() {
    return new Object[][] {
      {2, 0.0}, {2, 0.3}, {2, 0.55}, {20, 0.0}, {20, 0.3}, {20, 0.55}, {32, 0.0}, {32, 0.3}
    };
  }

  @Test(dataProvider = "sizesAndFractions")
  public void testBadVersionStaysWithinExposureBound(int perZone, double silentAfter) {
    RolloutFleet fleet = RolloutFleet.of(3, perZone, 1);
    SessionWorkload.start(fleet, SESSIONS);
    fleet.time().run(WARM_UP);
    fleet.failNewVersion(FAILING_FRACTION);
    fleet.startRollout(ROLLOUT_DURATION);
    Duration connected = Duration.ofMillis(Math.round(ROLLOUT_DURATION.toMillis() * silentAfter));
    fleet.time().run(connected);
    fleet.silenceLinks();
    fleet.time().run(ROLLOUT_DURATION.minus(connected));
    int total = fleet.requestsDuringRollout();
    double allowed = RolloutSample.BOUNDS.exposureShare() * total + ALLOWED_RESERVE;
    int sent = fleet.requestsToNewDuringRollout();
    assertTrue(sent <= allowed, sent + " of " + total + " requests, allowed " + allowed);
  }
}
