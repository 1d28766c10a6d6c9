// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Compares ways to bound what cold upstreams get: {@code ./bench cold}.
 *
 * <p>For each way, size and trouble: the worst second against the bound, the share of the bound
 * that was used, and the time to the first request. Virtual time, fixed seeds. Stateless.
 */
public final class ColdBench {
  private static final double BOUND = 20;
  private static final int SEEDS = 5;
  private static final int UPSTREAMS = 8;
  private static final Duration MEETING = Duration.ofSeconds(12);
  private static final Duration COLD = Duration.ofSeconds(3);
  private static final List<int[]> SIZES =
      List.of(new int[] {3, 2}, new int[] {3, 20}, new int[] {5, 19});

  private ColdBench() {}

  private static Map<String, ColdFleet.Way> ways() {
    Map<String, ColdFleet.Way> ways = new LinkedHashMap<>();
    ways.put("few by rank", ColdFleet.RANKED);
    ways.put("share by number", ColdFleet.SHARE);
    ways.put("first seen", ColdFleet.FIRST);
    return ways;
  }

  private static Map<String, Consumer<ColdFleet>> troubles() {
    Map<String, Consumer<ColdFleet>> troubles = new LinkedHashMap<>();
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

  /** Prints the table. */
  public static void main(String[] arguments) {
    System.out.printf("bound %.0f requests a second, %d seeds%n", BOUND, SEEDS);
    System.out.println("| Instances | Trouble | Way | Worst second | Used share | First, ms |");
    System.out.println("|---|---|---|---|---|---|");
    for (int[] size : SIZES) {
      troubles()
          .forEach(
              (name, trouble) ->
                  ways().forEach((way, gate) -> print(size, name, trouble, way, gate)));
    }
  }

  private static void print(
      int[] size, String name, Consumer<ColdFleet> trouble, String way, ColdFleet.Way gate) {
    int worst = 0;
    double used = 0;
    long first = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      ColdFleet fleet = ColdFleet.of(gate, BOUND, size[0], size[1], seed);
      fleet.run(MEETING);
      trouble.accept(fleet);
      fleet.turnCold(UPSTREAMS);
      fleet.run(COLD);
      worst = Math.max(worst, fleet.worst());
      used += fleet.usedShare() / SEEDS;
      OptionalLong own = fleet.firstMillis();
      first = Math.max(first, own.orElse(Long.MAX_VALUE));
    }
    System.out.printf(
        "| %d | %s | %s | %d | %.2f | %s |%n",
        size[0] * size[1], name, way, worst, used, first == Long.MAX_VALUE ? "none" : first);
  }
}
