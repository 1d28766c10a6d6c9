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

/** All instances together keep to the rate of a workspace. */
public class WorkspaceLimitsTest {
  private static final Duration PAUSE = Duration.ofMillis(50);
  private static final int STEPS = 400;

  /** What the rate allows for, and a burst of a second. */
  private static final double HEADROOM = 1.2;

  private static int taken(int instances, double rate) {
    VirtualTime time = new VirtualTime();
    Workspace workspace = new Workspace(List.of(), "", rate, 0);
    List<WorkspaceLimits> limits =
        IntStream.range(0, instances)
            .mapToObj(unused -> WorkspaceLimits.create(() -> instances))
            .toList();
    limits.forEach(one -> one.take("desk", workspace, time.instant()));
    time.run(Duration.ofSeconds(2));
    limits.forEach(one -> one.take("desk", workspace, time.instant()));
    int taken = 0;
    for (int step = 0; step < STEPS; step++) {
      time.run(PAUSE);
      for (WorkspaceLimits one : limits) {
        taken += one.take("desk", workspace, time.instant()).isEmpty() ? 1 : 0;
      }
    }
    return taken;
  }

  private static void assertKept(int instances, double rate) {
    double seconds = PAUSE.multipliedBy(STEPS).toSeconds() + 1;
    int taken = taken(instances, rate);
    double allowed = HEADROOM * rate * seconds;
    assertTrue(taken <= allowed, taken + " of " + allowed + " at " + instances + " instances");
  }

  @Test
  public void testFewInstancesKeepToTheRate() {
    assertKept(7, 20);
  }

  /** Each instance grants a least rate, so many of them grant more than the workspace has. */
  @Test
  public void testManyInstancesKeepToLowRate() {
    assertKept(95, 5);
  }
}
