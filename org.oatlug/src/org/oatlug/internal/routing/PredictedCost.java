// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.oatlug.internal.table.UpstreamRow;

/**
 * The upstream with the lowest predicted time, with chance in proportion to the age of what is
 * known.
 *
 * <p>The prediction is the wait behind the requests that exceed the slots, plus the service time,
 * less what a cached prefix saves. Load reports lag, so all instances would choose the same
 * upstream; the older the report, the more the choice is spread. Immutable, thread-safe.
 */
public final class PredictedCost implements UpstreamChooser {
  private static final double DEFAULT_SERVICE_MILLIS = 500;
  private static final double PREFIX_SAVING = 0.3;
  private static final double REMOTE_PENALTY_MILLIS = 20;
  private static final double SPREAD_PER_AGE = 0.02;
  private static final double MAXIMUM_SPREAD_MILLIS = 200;

  private PredictedCost() {}

  /** Returns the chooser. */
  public static PredictedCost create() {
    return new PredictedCost();
  }

  @Override
  public Candidate choose(
      List<Candidate> candidates, RouteRequest request, Instant now, RandomGenerator random) {
    double base = baseService(candidates);
    Candidate best = candidates.get(0);
    double bestCost = Double.POSITIVE_INFINITY;
    for (Candidate candidate : candidates) {
      double spread = spreadMillis(candidate.row().reportAge(now));
      double cost = cost(candidate, request, base) + random.nextDouble() * spread;
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  /** Returns the predicted milliseconds until the answer. */
  static double cost(Candidate candidate, RouteRequest request, double baseService) {
    UpstreamRow row = candidate.row();
    double seen = row.meanServiceMillis();
    double service = seen > 0 ? seen : baseService;
    int slots = candidate.upstream().slots();
    int load = row.expectedLoad();
    double waiting = Math.max(0, load + 1 - slots);
    double wait = waiting / slots * service;
    double sharing = service * load / (2.0 * slots);
    double saved = row.hasPrefix(request.prefix()) ? PREFIX_SAVING * service : 0;
    double remote = candidate.local() ? 0 : REMOTE_PENALTY_MILLIS;
    return wait + service + sharing - saved + remote;
  }

  private static double baseService(List<Candidate> candidates) {
    double sum = 0;
    int seen = 0;
    for (Candidate candidate : candidates) {
      double mean = candidate.row().meanServiceMillis();
      if (mean > 0) {
        sum += mean;
        seen++;
      }
    }
    return seen == 0 ? DEFAULT_SERVICE_MILLIS : sum / seen;
  }

  private static double spreadMillis(Duration age) {
    return Math.min(MAXIMUM_SPREAD_MILLIS, age.toMillis() * SPREAD_PER_AGE);
  }
}
