// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import java.util.Comparator;
import org.oatlug.internal.routing.UpstreamChooser;

/** Baseline policies against which the upstream chooser is compared. Stateless, thread-safe. */
final class Baselines {
  private Baselines() {}

  static UpstreamChooser random() {
    return (candidates, request, table, random) ->
        candidates.get(random.nextInt(candidates.size()));
  }

  static UpstreamChooser roundRobin() {
    int[] nextIndex = new int[1];
    return (candidates, request, table, random) ->
        candidates.get(Math.floorMod(nextIndex[0]++, candidates.size()));
  }

  /** Returns a chooser of the upstream with the fewest open attempts, ties broken at random. */
  static UpstreamChooser leastInFlight() {
    return (candidates, request, table, random) -> {
      int startIndex = random.nextInt(candidates.size());
      return java.util.stream.IntStream.range(0, candidates.size())
          .mapToObj(index -> candidates.get((startIndex + index) % candidates.size()))
          .min(Comparator.comparingInt(candidate -> candidate.row().inFlight()))
          .orElseThrow();
    };
  }
}
