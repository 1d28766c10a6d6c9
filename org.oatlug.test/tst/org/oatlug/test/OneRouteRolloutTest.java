// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.ServiceRollout.State;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a version that fails on one route of a service and is accepted, because the
 * responses of all routes were compared together and those of the other routes outweighed it.
 */
public class OneRouteRolloutTest {
  private static final Duration ROLLOUT_DURATION = Duration.ofSeconds(16);
  private static final Duration WARM_UP = Duration.ofSeconds(3);
  private static final int MEAN_PAUSE_MILLIS = 29;
  private static final long SEEDS = 40;

  /** The requests that the deployment allows beyond the share of its bounds. */
  private static final int ALLOWED_RESERVE = 30;

  /** The route with most requests fails rarely, the other one often, whatever the version. */
  private static final Route QUIET = RolloutSample.route("quiet");

  private static final Route NOISY = RolloutSample.route("noisy");
  private static final double NOISY_PART = 0.28;
  private static final double QUIET_FAILURES = 0.004;
  private static final double NOISY_FAILURES = 0.14;

  /** The failure rates of the new version on both routes. */
  private record Failures(double quiet, double noisy) {}

  @DataProvider
  Object[][] badVersions() {
    return new Object[][] {
      {new Failures(0.3, NOISY_FAILURES)},
      {new Failures(0.6, NOISY_FAILURES)},
      {new Failures(QUIET_FAILURES, 0.5)},
      {new Failures(QUIET_FAILURES, 0.6)}
    };
  }

  @Test(dataProvider = "badVersions")
  public void testVersionThatFailsOnOneRouteIsRolledBackWithinExposureBound(Failures failures) {
    int kept = 0;
    StringBuilder broken = new StringBuilder();
    for (long seed = 1; seed <= SEEDS; seed++) {
      RolloutFleet fleet = run(seed, failures);
      int total = fleet.requestsDuringRollout();
      double allowed = RolloutSample.BOUNDS.exposureShare() * total + ALLOWED_RESERVE;
      int sent = fleet.requestsToNewDuringRollout();
      if (sent <= allowed && fleet.rolloutState().equals(Optional.of(State.ROLLED_BACK))) {
        kept++;
      } else {
        broken.append(" seed %d: %d of %d, %s".formatted(seed, sent, total, fleet.rolloutState()));
      }
    }
    assertEquals(kept, SEEDS, failures + " broke the bound," + broken);
  }

  @Test
  public void testGoodVersionSucceedsDespiteFailuresOfItsRoutes() {
    int succeeded = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      RolloutFleet fleet = run(seed, new Failures(QUIET_FAILURES, NOISY_FAILURES));
      succeeded += fleet.rolloutState().equals(Optional.of(State.SUCCEEDED)) ? 1 : 0;
    }
    assertTrue(succeeded >= SEEDS * 0.85, succeeded + " of " + SEEDS + " succeeded");
  }

  private static RolloutFleet run(long seed, Failures failures) {
    RolloutFleet fleet = RolloutFleet.of(3, 2, seed);
    sendAfterPause(fleet, failures);
    fleet.time().run(WARM_UP);
    fleet.startRollout(ROLLOUT_DURATION);
    fleet.time().run(ROLLOUT_DURATION);
    return fleet;
  }

  private static void sendAfterPause(RolloutFleet fleet, Failures failures) {
    Random random = fleet.random();
    long pause = Math.round(-MEAN_PAUSE_MILLIS * Math.log(1 - random.nextDouble()));
    fleet
        .time()
        .after(
            Duration.ofMillis(pause),
            () -> {
              sendAfterPause(fleet, failures);
              if (!fleet.serving().isEmpty()) {
                send(fleet, failures);
              }
            });
  }

  private static void send(RolloutFleet fleet, Failures failures) {
    Random random = fleet.random();
    boolean noisy = random.nextDouble() < NOISY_PART;
    double draw = random.nextDouble();
    double ofOld = noisy ? NOISY_FAILURES : QUIET_FAILURES;
    double ofNew = noisy ? failures.noisy() : failures.quiet();
    fleet
        .serving()
        .get(random.nextInt(fleet.serving().size()))
        .sendPlain(
            noisy ? NOISY : QUIET,
            version -> 60,
            version -> draw < (version.equals(RolloutSample.NEW) ? ofNew : ofOld));
  }
}
