// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.oatlug.config.Workspace;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.Test;

/** Tests that all instances together keep to the rate of a workspace. */
public class WorkspaceLimitsTest {
  private static final Duration INTERVAL = Duration.ofMillis(50);
  private static final int STEPS = 400;

  /** The factor by which the instances together may exceed the rate of the workspace. */
  private static final double HEADROOM = 1.2;

  private static int admitted(int instances, double rate) {
    VirtualTime time = new VirtualTime();
    Workspace workspace = new Workspace(List.of(), "", rate, 0);
    List<WorkspaceLimits> limits =
        IntStream.range(0, instances)
            .mapToObj(unused -> WorkspaceLimits.create(() -> instances))
            .toList();
    limits.forEach(limit -> limit.take("desk", workspace, time.instant()));
    time.run(Duration.ofSeconds(2));
    limits.forEach(limit -> limit.take("desk", workspace, time.instant()));
    int admitted = 0;
    for (int step = 0; step < STEPS; step++) {
      time.run(INTERVAL);
      for (WorkspaceLimits limit : limits) {
        admitted += limit.take("desk", workspace, time.instant()).isEmpty() ? 1 : 0;
      }
    }
    return admitted;
  }

  private static void assertRateKept(int instances, double rate) {
    // The limits allow a burst of one second in addition.
    double seconds = INTERVAL.multipliedBy(STEPS).toSeconds() + 1;
    int admitted = admitted(instances, rate);
    double allowed = HEADROOM * rate * seconds;
    assertTrue(
        admitted <= allowed, admitted + " of " + allowed + " at " + instances + " instances");
  }

  @Test
  public void testFewInstancesKeepToTheRate() {
    assertRateKept(7, 20);
  }

  /** Each instance grants a minimum rate, so many of them grant more than that of the workspace. */
  @Test
  public void testManyInstancesKeepToLowRate() {
    assertRateKept(95, 5);
  }
}
