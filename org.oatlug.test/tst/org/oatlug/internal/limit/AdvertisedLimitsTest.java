// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalDouble;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.Test;

/** Tests which of two observations of the limit of an upstream is valid. */
public class AdvertisedLimitsTest {
  private static final String UPSTREAM = "i-1@1000";
  private static final Duration SECOND = Duration.ofSeconds(1);

  private final VirtualTime time = new VirtualTime();
  private final AdvertisedLimits limits = AdvertisedLimits.create(time);

  @Test
  public void testLateResponseToEarlierRequestDoesNotEndLimit() {
    var written = time.instant();
    time.run(SECOND);
    limits.advertised("late", 2);
    limits.notAdvertised("late", written);
    assertEquals(limits.rateOf("late"), OptionalDouble.of(2));
    limits.notAdvertised("late", time.instant().plusMillis(1));
    assertEquals(limits.rateOf("late"), OptionalDouble.empty());
  }

  @Test
  public void testOlderReportDoesNotRestoreEndedLimit() {
    limits.advertised(UPSTREAM, 2);
    time.run(SECOND);
    limits.notAdvertised(UPSTREAM, time.instant());
    limits.applyReported(Map.of(UPSTREAM, new AdvertisedLimit(2, 900)));
    assertEquals(limits.rateOf(UPSTREAM), OptionalDouble.empty());
  }

  @Test
  public void testStricterOfSimultaneousReportsIsValid() {
    limits.advertised("tie", 2);
    limits.applyReported(Map.of("tie", new AdvertisedLimit(1, 0)));
    assertEquals(limits.rateOf("tie"), OptionalDouble.of(1));
    limits.applyReported(Map.of("tie", new AdvertisedLimit(3, 0)));
    limits.applyReported(Map.of("tie", new AdvertisedLimit(AdvertisedLimit.NONE, 0)));
    assertEquals(limits.rateOf("tie"), OptionalDouble.of(1));
  }

  @Test
  public void testReportsOfOthersAreNotForwarded() {
    limits.applyReported(Map.of("reported", new AdvertisedLimit(1, 0)));
    assertTrue(!limits.observed().containsKey("reported"));
  }

  @Test
  public void testLimitStaysValidAfterItIsNoLongerReported() {
    limits.advertised("quiet", 2);
    time.run(AdvertisedLimits.REPORTED_FOR.plus(SECOND));
    assertEquals(limits.rateOf("quiet"), OptionalDouble.of(2));
    assertTrue(!limits.observed().containsKey("quiet"));
  }

  @Test
  public void testResponsesWithoutLimitAreNotStored() {
    limits.notAdvertised("usual", time.instant());
    assertTrue(!limits.observed().containsKey("usual"));
  }

  @Test
  public void testEndOfLimitIsReportedForBoundedTime() {
    limits.advertised("ended", 2);
    time.run(SECOND);
    limits.notAdvertised("ended", time.instant());
    for (int second = 0; second < 120; second++) {
      time.run(SECOND);
      limits.notAdvertised("ended", time.instant());
    }
    assertTrue(!limits.observed().containsKey("ended"));
  }
}
