// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests that queued prefill times are added over instances and expire with their reports. */
class PrefillBacklogTest {
  private static final String SEED = "20261202";

  private final Instant now = Instant.parse("2026-12-02T12:00:00Z");

  @Example
  void testReportOfOthersCountsUntilReplacedOrExpired() {
    PrefillBacklog prefillBacklog = PrefillBacklog.create();
    prefillBacklog.begin("i-1", 100);
    prefillBacklog.applyReported(Map.of("i-1", 55, "i-2", 70), now);
    assertEquals(prefillBacklog.waitingMillis("i-1", now), 155.0);
    assertEquals(prefillBacklog.waitingMillis("i-2", now), 70.0);
    prefillBacklog.applyReported(Map.of("i-1", 5, "i-2", 7), now);
    assertEquals(prefillBacklog.waitingMillis("i-1", now), 105.0);
    Instant later = now.plus(PrefillBacklog.VALIDITY).plusMillis(1);
    assertEquals(prefillBacklog.waitingMillis("i-1", later), 100.0);
    assertEquals(prefillBacklog.waitingMillis("i-2", later), 0.0);
    assertEquals(prefillBacklog.own(), Map.of("i-1", 100));
  }

  @Property(seed = SEED)
  void testEndedPromptsLeaveNoPrefillTime(@ForAll Random random) {
    PrefillBacklog prefillBacklog = PrefillBacklog.create();
    Deque<Double> open = new ArrayDeque<>();
    for (int step = 0; step < 200; step++) {
      if (random.nextBoolean() || open.isEmpty()) {
        double millis = 2000 * random.nextDouble();
        open.add(millis);
        prefillBacklog.begin("i-1", millis);
      } else {
        prefillBacklog.end("i-1", open.remove());
      }
      assertTrue(prefillBacklog.waitingMillis("i-1", now) >= 0);
    }
    open.forEach(millis -> prefillBacklog.end("i-1", millis));
    assertEquals(prefillBacklog.own(), Map.of());
  }
}
