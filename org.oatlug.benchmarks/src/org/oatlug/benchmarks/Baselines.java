// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import java.util.Comparator;
import org.oatlug.internal.routing.UpstreamChooser;

/** Ways to choose an upstream that the real one is measured against. Stateless, thread-safe. */
final class Baselines {
  private Baselines() {}

  static UpstreamChooser random() {
    return (candidates, request, table, random) ->
        candidates.get(random.nextInt(candidates.size()));
  }

  static UpstreamChooser roundRobin() {
    int[] next = new int[1];
    return (candidates, request, table, random) ->
        candidates.get(Math.floorMod(next[0]++, candidates.size()));
  }

  /**
   * Chooses the upstream with the fewest open attempts of this instance, by chance among equals.
   */
  static UpstreamChooser leastInFlight() {
    return (candidates, request, table, random) -> {
      int start = random.nextInt(candidates.size());
      return java.util.stream.IntStream.range(0, candidates.size())
          .mapToObj(index -> candidates.get((start + index) % candidates.size()))
          .min(Comparator.comparingInt(candidate -> candidate.row().inFlight()))
          .orElseThrow();
    };
  }
}
