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
class OpenReadingTest {
  private static final String SEED = "20261202";

  private final Instant now = Instant.parse("2026-12-02T12:00:00Z");

  @Example
  void testReportOfOthersCountsUntilReplacedOrExpired() {
    OpenReading reading = OpenReading.create();
    reading.begin("i-1", 100);
    reading.heard(Map.of("i-1", 55, "i-2", 70), now);
    assertEquals(reading.waitingMillis("i-1", now), 155.0);
    assertEquals(reading.waitingMillis("i-2", now), 70.0);
    reading.heard(Map.of("i-1", 5, "i-2", 7), now);
    assertEquals(reading.waitingMillis("i-1", now), 105.0);
    Instant later = now.plus(OpenReading.VALID).plusMillis(1);
    assertEquals(reading.waitingMillis("i-1", later), 100.0);
    assertEquals(reading.waitingMillis("i-2", later), 0.0);
    assertEquals(reading.own(), Map.of("i-1", 100));
  }

  @Property(seed = SEED)
  void testEndedPromptsLeaveNoPrefillTime(@ForAll Random random) {
    OpenReading reading = OpenReading.create();
    Deque<Double> open = new ArrayDeque<>();
    for (int step = 0; step < 200; step++) {
      if (random.nextBoolean() || open.isEmpty()) {
        double millis = 2000 * random.nextDouble();
        open.add(millis);
        reading.begin("i-1", millis);
      } else {
        reading.end("i-1", open.remove());
      }
      assertTrue(reading.waitingMillis("i-1", now) >= 0);
    }
    open.forEach(millis -> reading.end("i-1", millis));
    assertEquals(reading.own(), Map.of());
  }
}
