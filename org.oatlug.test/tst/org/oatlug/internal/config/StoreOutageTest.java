// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

/**
 * What an outage asks of the store, and how soon its end is known.
 *
 * <p>Load pattern: the store turns all instances away for ten seconds while its readers watch four
 * kinds. Each watch tried on its own each half second: 486 calls of six readers, and 216 now.
 *
 * <p>Virtual time.
 */
public class StoreOutageTest {
  private static final int SEEDS = 2;
  private static final int ZONES = 3;
  private static final int INSTANCES_PER_ZONE = 20;
  private static final Duration START = Duration.ofSeconds(6);
  private static final Duration OUTAGE = Duration.ofSeconds(10);
  private static final Duration KNOWN_AFTER = Duration.ofMillis(1500);

  /** Two readers a zone try twice a second, and those whom they ask to read instead once. */
  private static final int MOST_CALLS = 250;

  @Test
  public void testOutageIsTriedByOneWatchForAll() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = VirtualFleet.of(ZONES, INSTANCES_PER_ZONE, seed, VirtualFleet.ALL_KINDS);
      fleet.run(START);
      fleet.turnAway(fleet.names());
      final int before = fleet.storeCalls();
      fleet.run(OUTAGE);
      int calls = fleet.storeCalls() - before;
      assertTrue(calls <= MOST_CALLS, "calls " + calls + " seed " + seed);
    }
  }

  @Test
  public void testWhatChangedInAnOutageIsKnownSoonAfterIt() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = VirtualFleet.of(ZONES, INSTANCES_PER_ZONE, seed, VirtualFleet.ALL_KINDS);
      fleet.run(START);
      fleet.turnAway(fleet.names());
      fleet.run(OUTAGE);
      fleet.empty("zone-0");
      fleet.takeBack();
      fleet.run(KNOWN_AFTER);
      assertEquals(fleet.whoKeepsEmpty("zone-0"), fleet.names(), "seed " + seed);
    }
  }
}
