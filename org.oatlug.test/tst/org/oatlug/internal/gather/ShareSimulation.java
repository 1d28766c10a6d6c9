// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntPredicate;
import org.oatlug.internal.gather.StateExchangeFleet.Instance;
import org.oatlug.internal.limit.WorkspaceShares;
import org.oatlug.internal.metrics.Meters;

/**
 * Simulates in virtual time 24 workspaces, three of them four times as large as the others, whose
 * requests arrive at random instances and wait for a capacity that all share. Requests beyond a
 * share wait behind the others. Used from one thread.
 */
final class ShareSimulation {
  static final int WORKSPACES = 24;
  static final int LARGE = 3;

  /** The number of the workspace whose demand is multiplied. */
  static final int JUMPING = 10;

  private static final double REQUESTS_PER_SECOND = 240;
  private static final int LARGE_FACTOR = 4;
  private static final int[] SIZES = {1826, 1826, 1826, 3400, 3400, 13_000};
  private static final Duration STEP = Duration.ofMillis(20);
  private static final double STEP_SECONDS = STEP.toMillis() / 1000.0;

  /** A request that waits for longer is lost. */
  private static final Duration GOAL = Duration.ofSeconds(1);

  /** Capacity is short while the waiting work takes longer than this, in seconds. */
  private static final double SHORT_SECONDS = 0.1;

  final StateExchangeFleet fleet;
  private final boolean isInUse;
  private final double capacity;
  private final Random random;
  private final Map<Instance, WorkspaceShares> shares = new HashMap<>();
  private final Deque<Request> within = new ArrayDeque<>();
  private final Deque<Request> beyond = new ArrayDeque<>();
  private final int[] asked = new int[WORKSPACES];
  private final int[] lost = new int[WORKSPACES];
  private final int[] held = new int[WORKSPACES];
  private double waiting;
  private double unused;

  private record Request(int workspace, double work, Instant at) {}

  /**
   * Starts instances with empty shares.
   *
   * @param capacityFactor the capacity, as a multiple of the usual work
   */
  ShareSimulation(
      int zones, int instancesPerZone, boolean isInUse, double capacityFactor, long seed) {
    this.fleet = StateExchangeFleet.of(zones, instancesPerZone, seed);
    this.isInUse = isInUse;
    this.random = new Random(seed);
    double meanSize = Arrays.stream(SIZES).average().orElseThrow();
    this.capacity = capacityFactor * REQUESTS_PER_SECOND * meanSize;
    restartAll();
  }

  /** Replaces the state of all instances, as a restart does. */
  void restartAll() {
    fleet.instances().forEach(this::restart);
  }

  private void restart(Instance instance) {
    WorkspaceShares own =
        WorkspaceShares.create(
            () -> isInUse,
            () -> waiting > SHORT_SECONDS * capacity,
            name -> 1,
            Meters.of(new MetricRegistry()));
    shares.put(instance, own);
    instance.load = () -> ShareReports.reportOf(own, fleet.clock().instant());
    instance.listener = report -> ShareReports.apply(report.load(), own, fleet.clock().instant());
  }

  /** Ends the reports to all instances. */
  void stopReports() {
    fleet.instances().forEach(instance -> instance.listener = report -> {});
  }

  /** Advances the time; one workspace has its usual demand times a factor. */
  void run(Duration duration, double factor) {
    Arrays.fill(asked, 0);
    Arrays.fill(lost, 0);
    Arrays.fill(held, 0);
    List<Instance> live =
        fleet.instances().stream().filter(one -> !fleet.isStopped(one.name())).toList();
    for (long step = 0; step < duration.dividedBy(STEP); step++) {
      fleet.run(STEP);
      for (int workspace = 0; workspace < WORKSPACES; workspace++) {
        double rate = usualRequests(workspace) * (workspace == JUMPING ? factor : 1);
        for (int count = poisson(rate * STEP_SECONDS); count > 0; count--) {
          arrive(workspace, live.get(random.nextInt(live.size())));
        }
      }
      serve();
    }
  }

  private static double usualRequests(int workspace) {
    double parts = WORKSPACES + LARGE * (LARGE_FACTOR - 1);
    return REQUESTS_PER_SECOND / parts * (workspace < LARGE ? LARGE_FACTOR : 1);
  }

  private int poisson(double mean) {
    int count = 0;
    double product = random.nextDouble();
    while (product > Math.exp(-mean)) {
      count++;
      product *= random.nextDouble();
    }
    return count;
  }

  private void arrive(int workspace, Instance instance) {
    Instant now = fleet.clock().instant();
    Request request = new Request(workspace, SIZES[random.nextInt(SIZES.length)], now);
    asked[workspace]++;
    waiting += request.work();
    String name = "w" + workspace;
    shares.get(instance).recordDemand(name, request.work(), now);
    if (shares.get(instance).isBeyondShare(name, now)) {
      held[workspace]++;
      beyond.add(request);
    } else {
      within.add(request);
    }
  }

  private void serve() {
    unused = Math.min(unused, 0) + capacity * STEP_SECONDS;
    Instant now = fleet.clock().instant();
    while (unused > 0 && waiting > 0) {
      Request request = within.isEmpty() ? beyond.remove() : within.remove();
      waiting -= request.work();
      if (now.isAfter(request.at().plus(GOAL))) {
        lost[request.workspace()]++;
      } else {
        unused -= request.work();
      }
    }
  }

  /** Returns the part of the requests of the last run, of the workspaces, that were lost. */
  double lostOf(IntPredicate workspaces) {
    return partOf(lost, workspaces);
  }

  /** Returns the part of the requests of the last run, of the workspaces, that were held back. */
  double heldOf(IntPredicate workspaces) {
    return partOf(held, workspaces);
  }

  private double partOf(int[] counts, IntPredicate workspaces) {
    double sum = 0;
    double all = 0;
    for (int workspace = 0; workspace < WORKSPACES; workspace++) {
      if (workspaces.test(workspace)) {
        sum += counts[workspace];
        all += asked[workspace];
      }
    }
    return sum / all;
  }
}
