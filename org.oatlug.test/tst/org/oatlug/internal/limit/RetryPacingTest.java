// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the return times of refused callers, in virtual time. */
public class RetryPacingTest {
  private static final String SERVICE = "engines";
  private static final Duration LONG = Duration.ofSeconds(120);

  private VirtualTime time;
  private RetryPacing pacing;

  @BeforeMethod
  void createPacing() {
    time = new VirtualTime();
    pacing = RetryPacing.create(new Random(5));
  }

  private void release(double perSecond) {
    for (int count = 0; count < 5 * perSecond; count++) {
      time.run(Duration.ofNanos((long) (1e9 / perSecond)));
      pacing.recordRelease(SERVICE, time.instant());
    }
  }

  private long assign(Duration predictedWait, Duration timeLeft) {
    return pacing.assign(SERVICE, predictedWait, timeLeft, time.instant()).delay().toMillis();
  }

  private List<Long> assign(int callers, Duration timeLeft) {
    return IntStream.range(0, callers).mapToObj(caller -> assign(Duration.ZERO, timeLeft)).toList();
  }

  private static long mostInAnySecond(List<Long> delays) {
    return delays.stream()
        .mapToLong(
            from -> delays.stream().filter(other -> other >= from && other < from + 1000).count())
        .max()
        .orElseThrow();
  }

  /** Rates of releases, and the seconds over which 200 callers are spread. */
  @DataProvider
  public Object[][] rates() {
    return new Object[][] {{40, 5.0}, {2.5, 80.0}, {1000, 0.2}};
  }

  /** Guards against callers that return together and are refused again. */
  @Test(dataProvider = "rates")
  public void testBurstOfRefusedCallersReturnsAtRateOfReleases(double perSecond, double seconds) {
    release(perSecond);
    List<Long> delays = assign(200, LONG);
    assertTrue(delays.get(0) >= 300, "first " + delays.get(0));
    double spread = (delays.get(199) - delays.get(0)) / 1000.0;
    assertTrue(spread > seconds * 0.9 && spread < seconds * 1.1, "spread over " + spread);
    assertTrue(mostInAnySecond(delays) <= Math.ceil(perSecond), "" + mostInAnySecond(delays));
  }

  /** Guards against a delay that a caller honours only in part, or one that is too early. */
  @Test
  public void testTimeLeftShortensMinimumButNotTheRate() {
    release(40);
    assertTrue(assign(Duration.ZERO, Duration.ofMillis(600)) < 230, "a third, and jitter");
    assign(80, LONG);
    assertTrue(assign(Duration.ZERO, Duration.ofMillis(600)) > 1900, "its turn");
  }

  /** Guards against return times that are kept free for callers whose deadline is before them. */
  @Test
  public void testCallerWithoutTimeTakesNoTurn() {
    release(40);
    assign(80, LONG);
    List<Long> told = assign(50, Duration.ofMillis(-5));
    long spread =
        told.stream().mapToLong(delay -> delay - told.get(0)).map(Math::abs).max().orElse(0);
    assertTrue(spread < 26, "spread over " + spread);
    assertTrue(assign(Duration.ZERO, LONG) < told.get(0) + 26);
  }

  /** Guards against a return before the queue ahead is served, and against unknown rates. */
  @Test
  public void testPredictedWaitAndMinimumRates() {
    assertEquals(
        pacing.assign(SERVICE, Duration.ZERO, LONG, time.instant()).perSecond(),
        RetryPacing.INITIAL_RATE);
    assertTrue(assign(Duration.ofSeconds(4), LONG) >= 4000);
    release(40);
    time.run(Duration.ofMinutes(1));
    assertEquals(
        pacing.assign(SERVICE, Duration.ZERO, LONG, time.instant()).perSecond(),
        RetryPacing.MINIMUM_RATE);
  }
}
