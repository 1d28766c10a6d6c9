// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.table.UpstreamTable;

/**
 * The upstream with the lowest predicted time to the first token.
 *
 * <p>The prediction is the wait behind the requests that exceed the slots, plus what the requests
 * that run beside it slow it down, plus the prefill, less what a cached prefix saves. The wait is
 * smoothed, because the load is only estimated. Each prefix has a home, the first upstream by rank,
 * which is taken to have it cached: all instances then send it there unless the home is busy, and
 * it is cached there indeed. Immutable, thread-safe. Source: the placement cost of waiting and
 * cached prefixes in the paper cited in {@code docs/design/upstream-choice.md}.
 */
public final class PredictedCost implements UpstreamChooser {
  private static final double SERVICE_MILLIS = 1500;
  private static final double SHARING = 0.02;
  private static final double UNCERTAINTY = 1.5;
  private static final double PREFILL_MILLIS_PER_TOKEN = 0.25;
  private static final double PREFILL_LEFT_WHEN_CACHED = 0.2;
  private static final double REMOTE_MILLIS = 2;
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

  /** Returns the predicted milliseconds to the first token. */
  private static double cost(
      Candidate candidate, RouteRequest request, UpstreamTable table, long home) {
    UpstreamRow row = candidate.row();
    double load = table.estimatedLoad(row);
    boolean cached = row.hasPrefix(request.prefix()) || row.rankFor(request.prefix()) == home;
    double prefillShare = cached ? PREFILL_LEFT_WHEN_CACHED : 1;
    double prefill = prefillShare * request.promptTokens() * PREFILL_MILLIS_PER_TOKEN;
    double sharing = SHARING * load * SERVICE_MILLIS;
    double remote = candidate.local() ? 0 : REMOTE_MILLIS;
    return waitMillis(load, candidate.upstream().slots()) + sharing + prefill + remote;
  }

  /** Returns the expected wait for a slot; the excess is smoothed over the load's uncertainty. */
  private static double waitMillis(double load, int slots) {
    double excess = (load + 1 - slots) / UNCERTAINTY;
    double smoothed = excess > LINEAR_ABOVE ? excess : Math.log1p(Math.exp(excess));
    return smoothed * UNCERTAINTY / slots * SERVICE_MILLIS;
  }
}
