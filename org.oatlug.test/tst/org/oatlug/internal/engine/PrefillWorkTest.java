// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.Map;
import org.testng.annotations.Test;

/** Guards against work that is forgotten, or counted for ever, when reports stop. */
public class PrefillWorkTest {
  private static final Instant START = Instant.ofEpochMilli(1_000_000);
  private static final String DIGESTS = "pool/2";

  private final PrefillWork work = PrefillWork.create(() -> 10);

  private void recordSteadily(int seconds) {
    for (int millis = 0; millis < 1000 * seconds; millis += 100) {
      work.record(DIGESTS, 30, START.plusMillis(millis));
    }
  }

  @Test
  public void testSteadyWorkIsMeasuredAndFades() {
    recordSteadily(20);
    Instant end = START.plusSeconds(20);
    assertEquals(work.own(end).get(DIGESTS), 300, 15);
    assertTrue(work.own(end.plusSeconds(20)).isEmpty(), "work that ended long ago");
  }

  @Test
  public void testOtherInstancesCountAsReportedOrLikeThisOne() {
    recordSteadily(20);
    Instant end = START.plusSeconds(20);
    assertEquals(work.total(DIGESTS, end), 3000, 150, "no report: ten instances like this one");
    work.applyReported(Map.of(DIGESTS, 500), end);
    assertEquals(work.total(DIGESTS, end), 800, 15);
    // The collector is lost: its last report expires.
    recordSteadily(30);
    assertEquals(work.total(DIGESTS, START.plusSeconds(30)), 3000, 150);
  }

  @Test
  public void testTimeThatStepsBackDoesNotRaiseTheRate() {
    recordSteadily(20);
    assertTrue(work.total(DIGESTS, START) <= 3150);
  }
}
