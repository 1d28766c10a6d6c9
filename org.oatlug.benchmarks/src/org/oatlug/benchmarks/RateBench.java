// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Compares policies that limit the total request rate of all instances to an upstream. Run with
 * {@code ./bench rates}.
 *
 * <p>Prints for each policy, fleet size and disturbance the maximum number of requests in the span
 * to which the limit applies, the used share of the limit, and the time to the first request. Uses
 * virtual time and fixed seeds. Stateless.
 */
public final class RateBench {
  private static final double COLD_REQUESTS_PER_SECOND = 20;
  private static final double[] ADVERTISED_RATES = {0.5, 1.1, 20};
  private static final int SEEDS = 5;
  private static final int UPSTREAMS = 8;
  private static final Duration DISCOVERY_TIME = Duration.ofSeconds(12);
  private static final Duration COLD_PERIOD = Duration.ofSeconds(3);
  private static final Duration LIMITED_PERIOD = Duration.ofSeconds(12);
  private static final List<int[]> ZONES_AND_INSTANCES_PER_ZONE =
      List.of(new int[] {3, 2}, new int[] {3, 20}, new int[] {5, 19});

  private RateBench() {}

  /** Creates a fleet with the given number of zones and of instances per zone. */
  @FunctionalInterface
  private interface FleetFactory {
    RateFleet create(RateFleet.SendPolicy policy, int zones, int perZone, long seed);
  }

  private static Map<String, RateFleet.SendPolicy> policies(RateFleet.SendPolicy rankedPolicy) {
    Map<String, RateFleet.SendPolicy> policies = new LinkedHashMap<>();
    policies.put("few by rank", rankedPolicy);
    policies.put("share by number", RateFleet.EQUAL_SHARE);
    policies.put("first seen", RateFleet.FIRST_RANKED);
    return policies;
  }

  private static Map<String, Consumer<RateFleet>> disturbances() {
    Map<String, Consumer<RateFleet>> disturbances = new LinkedHashMap<>();
    disturbances.put("none", fleet -> {});
    disturbances.put(
        "cut in 8",
        fleet -> {
          fleet.partition(8);
          fleet.run(DISCOVERY_TIME);
        });
    disturbances.put("half just started", fleet -> fleet.restart(0.5));
    disturbances.put("twice as many", fleet -> fleet.add(60));
    disturbances.put("all just started", fleet -> fleet.restart(1));
    return disturbances;
  }

  /** Runs all simulations and prints a table per limit. */
  public static void main(String[] arguments) {
    print(
        "cold upstreams, " + COLD_REQUESTS_PER_SECOND + " requests in any second",
        COLD_PERIOD,
        policies(RateFleet.RANKED_COLD),
        (policy, zones, perZone, seed) ->
            RateFleet.ofCold(policy, COLD_REQUESTS_PER_SECOND, zones, perZone, seed));
    for (double rate : ADVERTISED_RATES) {
      print(
          "limit of " + rate + " a second, " + (6 * rate + 5) + " in 4 s",
          LIMITED_PERIOD,
          policies(RateFleet.RANKED_LIMITED),
          (policy, zones, perZone, seed) ->
              RateFleet.ofLimited(policy, rate, zones, perZone, seed));
    }
  }

  private static void print(
      String title,
      Duration span,
      Map<String, RateFleet.SendPolicy> policies,
      FleetFactory factory) {
    System.out.printf("%n%s, %d seeds%n%n", title, SEEDS);
    System.out.println("| Instances | Trouble | Way | Most in the span | Used share | First, ms |");
    System.out.println("|---|---|---|---|---|---|");
    for (int[] size : ZONES_AND_INSTANCES_PER_ZONE) {
      disturbances()
          .forEach(
              (disturbanceName, disturbance) ->
                  policies.forEach(
                      (policyName, policy) -> {
                        List<RateFleet> finishedFleets = new ArrayList<>();
                        for (int seed = 1; seed <= SEEDS; seed++) {
                          RateFleet fleet = factory.create(policy, size[0], size[1], seed);
                          simulate(fleet, disturbance, span);
                          finishedFleets.add(fleet);
                        }
                        printRow(
                            size[0] * size[1] + " | " + disturbanceName + " | " + policyName,
                            finishedFleets);
                      }));
    }
  }

  private static void simulate(RateFleet fleet, Consumer<RateFleet> disturbance, Duration span) {
    fleet.run(DISCOVERY_TIME);
    disturbance.accept(fleet);
    fleet.replaceUpstreams(UPSTREAMS);
    fleet.run(span);
  }

  private static void printRow(String rowStart, List<RateFleet> finishedFleets) {
    int maximumInSpan = finishedFleets.stream().mapToInt(RateFleet::maximumInSpan).max().orElse(0);
    double meanUsedShare =
        finishedFleets.stream().mapToDouble(RateFleet::usedShare).average().orElse(0);
    long latestFirstMillis =
        finishedFleets.stream()
            .mapToLong(fleet -> fleet.firstMillis().orElse(Long.MAX_VALUE))
            .max()
            .orElse(Long.MAX_VALUE);
    System.out.printf(
        "| %s | %d | %.2f | %s |%n",
        rowStart,
        maximumInSpan,
        meanUsedShare,
        latestFirstMillis == Long.MAX_VALUE ? "none" : latestFirstMillis);
  }
}
