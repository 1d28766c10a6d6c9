// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.oatlug.internal.limit.CapacityRule;
import org.oatlug.internal.routing.PredictedCost;
import org.oatlug.internal.routing.UpstreamChooser;
import org.oatlug.internal.util.Json;

/**
 * Compares the routing policies with baselines, prints the results as a table and writes them as
 * JSON and as a plot under {@code target/}. Virtual time and fixed seeds make runs reproducible.
 * The arguments select parts: choice, faults, overload, cascade, rollout.
 */
public final class PolicyBench {
  private static final long[] SEEDS = {1, 2, 3};
  private static final double[] LOADS = {0.5, 0.8, 0.95, 1.1};
  private static final double FAULT_LOAD = 0.8;
  private static final String PREDICTED_COST = "predicted cost";
  private static final String COST_AND_QUEUE = "cost and line";
  private static final Path OUTPUT_DIRECTORY = Path.of("target");

  private final ArrayNode rows = Json.STRICT.createArrayNode();

  private PolicyBench() {}

  /** Runs the selected parts of the benchmark, or all of them without arguments. */
  public static void main(String[] arguments) throws IOException {
    PolicyBench bench = new PolicyBench();
    Map<String, Runnable> parts = new LinkedHashMap<>();
    parts.put("choice", bench::compareChoosers);
    parts.put("faults", bench::compareUnderFaults);
    parts.put("overload", bench::compareUnderOverload);
    parts.put("cascade", () -> CascadeBench.run(bench.rows));
    parts.put("rollout", () -> RolloutBench.run(bench.rows));
    List<String> selectedParts =
        arguments.length == 0 ? List.copyOf(parts.keySet()) : List.of(arguments);
    for (String part : selectedParts) {
      parts.getOrDefault(part, () -> System.err.println("unknown part " + part)).run();
    }
    Files.createDirectories(OUTPUT_DIRECTORY);
    Files.writeString(OUTPUT_DIRECTORY.resolve("policy-bench.json"), bench.rows.toPrettyString());
    BenchPlot.write(bench.rows, OUTPUT_DIRECTORY.resolve("policy-bench.png"));
    System.out.println("\nwritten: target/policy-bench.json, target/policy-bench.png");
  }

  private static Map<String, Supplier<UpstreamChooser>> choosers() {
    Map<String, Supplier<UpstreamChooser>> choosers = new LinkedHashMap<>();
    choosers.put("random", Baselines::random);
    choosers.put("round robin", Baselines::roundRobin);
    choosers.put("least in flight", Baselines::leastInFlight);
    choosers.put(PREDICTED_COST, PredictedCost::create);
    choosers.put(COST_AND_QUEUE, PredictedCost::create);
    return choosers;
  }

  private static CapacityRule capacityOf(String name) {
    return name.equals(COST_AND_QUEUE)
        ? CapacityRule.slotsAndShortQueue()
        : CapacityRule.unbounded();
  }

  private void compareChoosers() {
    printHeader("Upstream choice: time to the first token in ms");
    for (Workload workload : List.of(Workload.blueMahoe(), Workload.terminalWayfinding())) {
      for (double load : LOADS) {
        choosers()
            .forEach(
                (name, chooser) ->
                    measure(
                        "choice",
                        workload,
                        name,
                        new PoolRun.Options(
                            load, chooser, capacityOf(name), 200, PoolRun.Fault.NONE)));
      }
    }
  }

  private void compareUnderFaults() {
    printHeader("Faults at 80% load");
    for (PoolRun.Fault fault : PoolRun.Fault.values()) {
      double reportLagMillis = fault == PoolRun.Fault.NONE ? 5000 : 200;
      String group = reportLagMillis > 1000 ? "reports 5 s late" : fault.name().toLowerCase();
      choosers()
          .forEach(
              (name, chooser) ->
                  measure(
                      group,
                      Workload.blueMahoe(),
                      name,
                      new PoolRun.Options(
                          FAULT_LOAD, chooser, capacityOf(name), reportLagMillis, fault)));
    }
  }

  private void compareUnderOverload() {
    printHeader(
        "Overload: answers that begin within their deadline, with and without a waiting line");
    for (Workload workload : List.of(Workload.blueMahoe(), Workload.terminalWayfinding())) {
      for (double load : new double[] {1.0, 1.1, 1.3}) {
        measure(
            "overload",
            workload,
            "unbounded",
            new PoolRun.Options(
                load, PredictedCost::create, CapacityRule.unbounded(), 200, PoolRun.Fault.NONE));
        measure(
            "overload",
            workload,
            "waiting line",
            new PoolRun.Options(
                load,
                PredictedCost::create,
                CapacityRule.slotsAndShortQueue(),
                200,
                PoolRun.Fault.NONE));
      }
    }
  }

  private static void printHeader(String text) {
    System.out.printf(
        "%n%s%n%-17s %-20s %5s %-16s %7s %7s %7s %8s %8s %7s%n",
        text,
        "group",
        "workload",
        "load",
        "policy",
        "p50",
        "p95",
        "p99",
        "in time",
        "refused",
        "failed");
  }

  private void measure(String group, Workload workload, String policy, PoolRun.Options options) {
    double[] sums = new double[7];
    for (long seed : SEEDS) {
      PoolRun.Result result = PoolRun.run(workload, options, seed);
      sums[0] += result.firstToken.getValueAtPercentile(50);
      sums[1] += result.firstToken.getValueAtPercentile(95);
      sums[2] += result.firstToken.getValueAtPercentile(99);
      sums[3] += 100.0 * result.inTime / result.measuredRequests;
      sums[4] += 100.0 * result.refused / result.measuredRequests;
      sums[5] += 100.0 * result.failed / result.measuredRequests;
      sums[6] += result.inTime;
    }
    for (int index = 0; index < sums.length; index++) {
      sums[index] /= SEEDS.length;
    }
    System.out.printf(
        "%-17s %-20s %4.0f%% %-16s %7.0f %7.0f %7.0f %7.1f%% %7.1f%% %6.2f%%%n",
        group,
        workload.name(),
        options.load() * 100,
        policy,
        sums[0],
        sums[1],
        sums[2],
        sums[3],
        sums[4],
        sums[5]);
    ObjectNode row = rows.addObject().put("group", group).put("workload", workload.name());
    row.put("load", options.load()).put("policy", policy).put("p50", sums[0]);
    row.put("p95", sums[1]).put("p99", sums[2]).put("inTimePercent", sums[3]);
    row.put("refusedPercent", sums[4]).put("failedPercent", sums[5]).put("inTime", sums[6]);
  }
}
