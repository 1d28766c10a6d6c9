// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.Test;

/**
 * What a start of all instances at once asks of the store.
 *
 * <p>Symptom: some 20 calls an instance before the first request, two thirds of a quiet day's
 * calls. Sequence: all start at once and know nobody, so each takes itself for the reader of its
 * zone; upstreams register one after the other meanwhile, and each entry ends the watch of every
 * instance, which watches again. Cause: an instance that had not had the time to meet the others of
 * its zone watched the store like a reader.
 *
 * <p>Virtual time.
 */
public class FleetStartTest {
  private static final int SEEDS = 3;
  private static final int ZONES = 5;
  private static final int INSTANCES_PER_ZONE = 19;
  private static final int UPSTREAMS = 42;
  private static final Duration START_WITHIN = Duration.ofMillis(300);
  private static final Duration BETWEEN_UPSTREAMS = Duration.ofMillis(30);

  /** Shorter than the wait of a watch, so that watches which nothing ends count once. */
  private static final Duration AFTERWARDS = Duration.ofSeconds(3);

  /** Each reads once; the readers of a zone, once they know that they are, read on. */
  private static final int MOST_CALLS_PER_INSTANCE = 4;

  private static VirtualFleet started(int seed) {
    VirtualFleet fleet = VirtualFleet.starting(ZONES, INSTANCES_PER_ZONE, START_WITHIN, seed);
    for (int number = 0; number < UPSTREAMS; number++) {
      fleet.run(BETWEEN_UPSTREAMS);
      fleet.register("i-" + number, false);
    }
    return fleet;
  }

  @Test
  public void testStoreIsAskedFewTimesByEachInstanceThatStarts() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = started(seed);
      fleet.run(AFTERWARDS);
      int most = MOST_CALLS_PER_INSTANCE * ZONES * INSTANCES_PER_ZONE;
      assertTrue(fleet.storeCalls() <= most, "calls " + fleet.storeCalls() + " seed " + seed);
    }
  }

  @Test
  public void testAllKnowWhatWasWrittenWhileTheyStarted() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = started(seed);
      fleet.run(AFTERWARDS);
      for (int number = 0; number < UPSTREAMS; number++) {
        assertEquals(fleet.whoMisses("i-" + number), List.of(), "i-" + number + " seed " + seed);
      }
    }
  }
}
