// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import org.oatlug.gateway.ServiceRollout.State;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a version of a plain service with little traffic that becomes several times slower
 * when it gets a larger share: its roll-out was completed, because a version that has all requests
 * was compared with nothing any more.
 */
public class SlowRolloutTest {
  private static final Duration ROLLOUT_DURATION = Duration.ofMillis(13_400);
  private static final Duration WARM_UP = Duration.ofSeconds(6);

  /** The mean time between requests of the whole service. */
  private static final int MEAN_PAUSE_MILLIS = 70;

  private static final long SEEDS = 40;

  /** The requests that the deployment allows beyond the share of its bounds. */
  private static final int ALLOWED_RESERVE = 30;

  /** The least of the mean response time of a request, in milliseconds. */
  private static final int MINIMUM_MILLIS = 50;

  private static final int MEAN_EXTRA_MILLIS = 40;

  /**
   * The factor by which the new version is slower, the fraction of the duration from which on it
   * is, and the share of its answers that are slow.
   */
  @DataProvider
  Object[][] slowVersions() {
    return new Object[][] {{8, 0.0, 1}, {8, 0.6, 1}, {6, 0.6, 1}, {8, 0.0, 0.5}, {8, 0.6, 0.5}};
  }

  /**
   * How slow the new version is.
   *
   * @param factor the factor by which its slow answers are slower
   * @param from the fraction of the duration from which on it is slow
   * @param share the share of its answers that are slow
   */
  private record Slowness(int factor, double from, double share) {}

  @Test(dataProvider = "slowVersions")
  public void testSlowVersionIsRolledBackWithinExposureBound(
      int factor, double slowFrom, double slowShare) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      RolloutFleet fleet = run(seed, new Slowness(factor, slowFrom, slowShare), 1);
      int total = fleet.requestsDuringRollout();
      double allowed = RolloutSample.BOUNDS.exposureShare() * total + ALLOWED_RESERVE;
      int sent = fleet.requestsToNewDuringRollout();
      String details = "seed " + seed + ": " + sent + " of " + total + ", allowed " + allowed;
      assertTrue(sent <= allowed, details);
      assertEquals(fleet.rolloutState(), Optional.of(State.ROLLED_BACK), details);
    }
  }

  /** Times of both versions, the second with a load that doubles all times while it goes on. */
  @DataProvider
  Object[][] loads() {
    return new Object[][] {{1}, {2}};
  }

  @Test(dataProvider = "loads")
  public void testGoodVersionSucceeds(int factorUnderLoad) {
    int succeeded = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      RolloutFleet fleet = run(seed, new Slowness(1, 0, 0), factorUnderLoad);
      succeeded += fleet.rolloutState().equals(Optional.of(State.SUCCEEDED)) ? 1 : 0;
    }
    assertEquals(succeeded, SEEDS);
  }

  private static RolloutFleet run(long seed, Slowness slowness, int factorUnderLoad) {
    RolloutFleet fleet = RolloutFleet.of(3, 2, seed);
    sendAfterPause(fleet, slowness, factorUnderLoad);
    fleet.time().run(WARM_UP);
    fleet.startRollout(ROLLOUT_DURATION);
    fleet.time().run(ROLLOUT_DURATION);
    return fleet;
  }

  private static void sendAfterPause(RolloutFleet fleet, Slowness slowness, int factorUnderLoad) {
    Random random = fleet.random();
    fleet
        .time()
        .after(
            Duration.ofMillis(exponential(random, MEAN_PAUSE_MILLIS)),
            () -> {
              sendAfterPause(fleet, slowness, factorUnderLoad);
              if (!fleet.serving().isEmpty()) {
                send(fleet, slowness, factorUnderLoad);
              }
            });
  }

  private static void send(RolloutFleet fleet, Slowness slowness, int factorUnderLoad) {
    Random random = fleet.random();
    double elapsed = fleet.elapsedFraction();
    long millis = MINIMUM_MILLIS + exponential(random, MEAN_EXTRA_MILLIS);
    boolean slow = elapsed >= slowness.from() && random.nextDouble() < slowness.share();
    long loaded = elapsed > 0.5 ? millis * factorUnderLoad : millis;
    fleet
        .serving()
        .get(random.nextInt(fleet.serving().size()))
        .sendPlain(
            version ->
                version.equals(RolloutSample.NEW) && slow ? loaded * slowness.factor() : loaded);
  }

  private static long exponential(Random random, int mean) {
    return Math.round(-mean * Math.log(1 - random.nextDouble()));
  }
}
