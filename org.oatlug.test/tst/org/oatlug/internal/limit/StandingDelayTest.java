// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.Test;

/** Guards against a limit that falls at a single slow iteration of the event loop. */
public class StandingDelayTest {
  private static final Duration TICK = Duration.ofMillis(100);

  private final StandingDelay standingDelay = StandingDelay.create();
  private Instant now = Instant.EPOCH;

  private Duration record(long millis) {
    now = now.plus(TICK);
    return standingDelay.record(Duration.ofMillis(millis), now);
  }

  @Test
  public void testDelayCountsOnceItHasLasted() {
    long ticks = StandingDelay.WINDOW.dividedBy(TICK);
    for (int tick = 0; tick < ticks; tick++) {
      assertEquals(record(400 + tick), Duration.ZERO, "tick " + tick);
    }
    assertEquals(record(500), Duration.ofMillis(400), "the least of the window");
    assertEquals(record(0), Duration.ZERO, "ends at the first sample without a delay");
    for (int tick = 0; tick < ticks; tick++) {
      assertEquals(record(300), Duration.ZERO, "a sample without a delay is in the window");
    }
    assertEquals(record(300), Duration.ofMillis(300));
  }

  @Test
  public void testSlowIterationsLeaveLimitOpen() {
    ConcurrencyLimit limit = ConcurrencyLimit.create();
    Duration bound = ConcurrencyLimit.boundFor(Duration.ofMillis(300));
    for (int tick = 0; tick < 50; tick++) {
      assertEquals(limit.adjust(record(tick % 3 == 0 ? 5 : 200), bound, 3), Integer.MAX_VALUE);
    }
    int lowest = Integer.MAX_VALUE;
    for (int tick = 0; tick < 10; tick++) {
      lowest = Math.min(lowest, limit.adjust(record(200), bound, 300));
    }
    assertTrue(lowest < 300, "a delay that stays lowers the limit");
  }
}
