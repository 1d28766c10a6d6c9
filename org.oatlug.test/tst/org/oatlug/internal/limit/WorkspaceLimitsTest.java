// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.oatlug.config.Workspace;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.Test;

/** Tests that all instances together keep to the rate of a workspace. */
public class WorkspaceLimitsTest {
  private static final Duration INTERVAL = Duration.ofMillis(50);
  private static final long SEED = 7;
  private static final int STEPS = 400;
  private static final int STEPS_PER_SECOND = 20;
  private static final int SPAN_SECONDS = 20;

  /** The factor by which the instances together may exceed the rate of the workspace. */
  private static final double HEADROOM = 1.2;

  private static int admitted(int instances, double rate) {
    VirtualTime time = new VirtualTime();
    Workspace workspace = new Workspace(List.of(), "", rate, 0);
    List<WorkspaceLimits> limits = limits(instances);
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

  /**
   * Guards against a minimum rate at each instance and against buckets in phase after a restart of
   * all: also while none hears another, they grant at most 126 requests in any 20 s.
   */
  @Test
  public void testInstancesThatHearNoOthersKeepToLowRate() {
    int instances = 95;
    double rate = 5;
    int seconds = 200;
    VirtualTime time = new VirtualTime();
    Workspace workspace = new Workspace(List.of(), "", rate, 0);
    List<WorkspaceLimits> limits = limits(instances);
    int[] admitted = new int[seconds];
    for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
      for (WorkspaceLimits limit : limits) {
        boolean passes = limit.take("desk", workspace, time.instant()).isEmpty();
        admitted[step / STEPS_PER_SECOND] += passes ? 1 : 0;
      }
      time.run(INTERVAL);
    }
    for (int from = 0; from + SPAN_SECONDS <= seconds; from++) {
      int sum = Arrays.stream(admitted, from, from + SPAN_SECONDS).sum();
      assertTrue(sum <= HEADROOM * rate * (SPAN_SECONDS + 1), sum + " in 20 s from " + from);
    }
    assertTrue(Arrays.stream(admitted).sum() >= rate * seconds, Arrays.toString(admitted));
  }

  private static List<WorkspaceLimits> limits(int instances) {
    Random random = new Random(SEED);
    return IntStream.range(0, instances)
        .mapToObj(unused -> WorkspaceLimits.create(() -> instances, random))
        .toList();
  }
}
