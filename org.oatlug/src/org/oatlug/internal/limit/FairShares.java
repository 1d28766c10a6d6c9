// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.oatlug.internal.limit.DemandMeter.Demand;

/**
 * Shares the usual demand of all workspaces between them by weighted max-min fairness: each has its
 * own usual demand, and what some leave of theirs is split in parts of equal size per weight; a
 * workspace that needs less than its part leaves the rest to the others. Pure functions.
 */
final class FairShares {
  /** With fewer workspaces, the growth of the others is unknown when one grows. */
  private static final int MINIMUM_FOR_GROWTH = 3;

  private FairShares() {}

  /** Returns the share of each workspace, in work per second. */
  static Map<String, Double> of(Map<String, Demand> demands, ToDoubleFunction<String> weights) {
    double growth = growth(demands);
    Map<String, Double> shares = new TreeMap<>();
    List<Excess> excesses = new ArrayList<>();
    double left = 0;
    for (Map.Entry<String, Demand> entry : demands.entrySet()) {
      double usual = entry.getValue().usual() * growth;
      double excess = entry.getValue().demand() - usual;
      shares.put(entry.getKey(), usual);
      if (excess > 0) {
        excesses.add(new Excess(entry.getKey(), excess, weights.applyAsDouble(entry.getKey())));
      } else {
        left -= excess;
      }
    }
    double level = level(excesses, left);
    excesses.forEach(
        excess -> shares.merge(excess.workspace(), level * excess.weight(), Double::sum));
    return shares;
  }

  /** Demand of a workspace beyond its usual one. */
  private record Excess(String workspace, double work, double weight) {
    double perWeight() {
      return work / weight;
    }
  }

  /** Returns the work per weight at which {@code left} is used up. */
  private static double level(List<Excess> excesses, double left) {
    List<Excess> ascending = new ArrayList<>(excesses);
    ascending.sort(Comparator.comparingDouble(Excess::perWeight));
    double weights = ascending.stream().mapToDouble(Excess::weight).sum();
    double remaining = left;
    for (Excess excess : ascending) {
      if (excess.perWeight() * weights > remaining) {
        return remaining / weights;
      }
      remaining -= excess.work();
      weights -= excess.weight();
    }
    return ascending.isEmpty() ? 0 : ascending.get(ascending.size() - 1).perWeight();
  }

  /**
   * Returns the median of demand over usual demand, at least 1. When all grow alike, as after the
   * loss of instances whose usual demand is no longer reported, no workspace is singled out.
   */
  private static double growth(Map<String, Demand> demands) {
    double[] ratios =
        demands.values().stream()
            .filter(demand -> demand.usual() > 0)
            .mapToDouble(demand -> demand.demand() / demand.usual())
            .sorted()
            .toArray();
    return ratios.length < MINIMUM_FOR_GROWTH ? 1 : Math.max(1, ratios[ratios.length / 2]);
  }
}
