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
 * Compares ways to limit what upstreams get from all instances together: {@code ./bench rates}.
 *
 * <p>For each way, size and trouble: the most requests in the span for which the limit holds, the
 * share of the limit that was used, and the time to the first request. Virtual time, fixed seeds.
 * Stateless.
 */
public final class RateBench {
  private static final double COLD_BOUND = 20;
  private static final double[] ADVERTISED = {0.5, 1.1, 20};
  private static final int SEEDS = 5;
  private static final int UPSTREAMS = 8;
  private static final Duration MEETING = Duration.ofSeconds(12);
  private static final Duration COLD = Duration.ofSeconds(3);
  private static final Duration LIMITED = Duration.ofSeconds(12);
  private static final List<int[]> SIZES =
      List.of(new int[] {3, 2}, new int[] {3, 20}, new int[] {5, 19});

  private RateBench() {}

  /** Makes a fleet of a number of zones, of instances in each, and with a seed. */
  @FunctionalInterface
  private interface Fleets {
    RateFleet of(RateFleet.Way way, int zones, int perZone, long seed);
  }

  private static Map<String, RateFleet.Way> ways(RateFleet.Way ranked) {
    Map<String, RateFleet.Way> ways = new LinkedHashMap<>();
    ways.put("few by rank", ranked);
    ways.put("share by number", RateFleet.SHARE);
    ways.put("first seen", RateFleet.FIRST);
    return ways;
  }

  private static Map<String, Consumer<RateFleet>> troubles() {
    Map<String, Consumer<RateFleet>> troubles = new LinkedHashMap<>();
    troubles.put("none", fleet -> {});
    troubles.put(
        "cut in 8",
        fleet -> {
          fleet.cut(8);
          fleet.run(MEETING);
        });
    troubles.put("half just started", fleet -> fleet.restart(0.5));
    troubles.put("twice as many", fleet -> fleet.add(60));
    troubles.put("all just started", fleet -> fleet.restart(1));
    return troubles;
  }

  /** Prints the tables. */
  public static void main(String[] arguments) {
    print(
        "cold upstreams, " + COLD_BOUND + " requests in any second",
        COLD,
        ways(RateFleet.RANKED_COLD),
        (way, zones, perZone, seed) -> RateFleet.ofCold(way, COLD_BOUND, zones, perZone, seed));
    for (double rate : ADVERTISED) {
      print(
          "limit of " + rate + " a second, " + (6 * rate + 5) + " in 4 s",
          LIMITED,
          ways(RateFleet.RANKED_LIMITED),
          (way, zones, perZone, seed) -> RateFleet.ofLimited(way, rate, zones, perZone, seed));
    }
  }

  private static void print(
      String title, Duration span, Map<String, RateFleet.Way> ways, Fleets fleets) {
    System.out.printf("%n%s, %d seeds%n%n", title, SEEDS);
    System.out.println("| Instances | Trouble | Way | Most in the span | Used share | First, ms |");
    System.out.println("|---|---|---|---|---|---|");
    for (int[] size : SIZES) {
      troubles()
          .forEach(
              (name, trouble) ->
                  ways.forEach(
                      (way, gate) -> {
                        List<RateFleet> played = new ArrayList<>();
                        for (int seed = 1; seed <= SEEDS; seed++) {
                          RateFleet fleet = fleets.of(gate, size[0], size[1], seed);
                          play(fleet, trouble, span);
                          played.add(fleet);
                        }
                        printRow(size[0] * size[1] + " | " + name + " | " + way, played);
                      }));
    }
  }

  private static void play(RateFleet fleet, Consumer<RateFleet> trouble, Duration span) {
    fleet.run(MEETING);
    trouble.accept(fleet);
    fleet.limit(UPSTREAMS);
    fleet.run(span);
  }

  private static void printRow(String row, List<RateFleet> played) {
    int worst = played.stream().mapToInt(RateFleet::worst).max().orElse(0);
    double used = played.stream().mapToDouble(RateFleet::usedShare).average().orElse(0);
    long first =
        played.stream()
            .mapToLong(fleet -> fleet.firstMillis().orElse(Long.MAX_VALUE))
            .max()
            .orElse(Long.MAX_VALUE);
    System.out.printf(
        "| %s | %d | %.2f | %s |%n", row, worst, used, first == Long.MAX_VALUE ? "none" : first);
  }
}
