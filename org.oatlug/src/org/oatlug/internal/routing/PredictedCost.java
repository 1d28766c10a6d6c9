// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.table.UpstreamTable;

/**
 * Chooses the upstream with the lowest predicted time to first token.
 *
 * <p>The prediction is the sum of the wait behind the requests in excess of the slots, the slowdown
 * by concurrently running requests and the prefill, reduced if the prefix is cached. The wait is
 * smoothed, because the load is only estimated. Each prefix has a home, the upstream of the lowest
 * rank, which is assumed to have it cached. As all instances send the prefix there unless the home
 * is busy, the assumption becomes true. Immutable, thread-safe. Source: the placement cost of
 * waiting and cached prefixes in the paper cited in {@code docs/design/upstream-choice.md}.
 */
public final class PredictedCost implements UpstreamChooser {
  private static final double SERVICE_MILLIS = 1500;
  private static final double SLOWDOWN_PER_REQUEST = 0.02;
  private static final double LOAD_UNCERTAINTY = 1.5;
  private static final double PREFILL_MILLIS_PER_TOKEN = 0.25;
  private static final double CACHED_PREFILL_SHARE = 0.2;
  private static final double CROSS_ZONE_MILLIS = 2;
  private static final double LINEAR_ABOVE = 30;

  private PredictedCost() {}

  /** Returns the chooser. */
  public static PredictedCost create() {
    return new PredictedCost();
  }

  @Override
  public Candidate choose(
      List<Candidate> candidates,
      RouteRequest request,
      UpstreamTable table,
      RandomGenerator random) {
    long home = homeRank(candidates, request);
    Candidate best = candidates.get(0);
    double bestCost = Double.POSITIVE_INFINITY;
    for (Candidate candidate : candidates) {
      double cost = cost(candidate, request, table, home) + random.nextDouble();
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  private static long homeRank(List<Candidate> candidates, RouteRequest request) {
    long home = Long.MAX_VALUE;
    for (Candidate candidate : candidates) {
      home = Math.min(home, candidate.row().rankFor(request.prefix()));
    }
    return home;
  }

  /** Returns the predicted time to first token, in milliseconds. */
  private static double cost(
      Candidate candidate, RouteRequest request, UpstreamTable table, long home) {
    UpstreamRow row = candidate.row();
    double load = table.estimatedLoad(row);
    boolean cached = row.hasPrefix(request.prefix()) || row.rankFor(request.prefix()) == home;
    double prefillShare = cached ? CACHED_PREFILL_SHARE : 1;
    double prefill = prefillShare * request.promptTokens() * PREFILL_MILLIS_PER_TOKEN;
    double slowdown = SLOWDOWN_PER_REQUEST * load * SERVICE_MILLIS;
    double crossZone = candidate.local() ? 0 : CROSS_ZONE_MILLIS;
    return waitMillis(load, candidate.upstream().slots()) + slowdown + prefill + crossZone;
  }

  /** Returns the expected wait for a slot in milliseconds, smoothed over the error of the load. */
  private static double waitMillis(double load, int slots) {
    double excess = (load + 1 - slots) / LOAD_UNCERTAINTY;
    double smoothed = excess > LINEAR_ABOVE ? excess : Math.log1p(Math.exp(excess));
    return smoothed * LOAD_UNCERTAINTY / slots * SERVICE_MILLIS;
  }
}
