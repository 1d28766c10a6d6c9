// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.oatlug.config.Cascade;
import org.oatlug.internal.cascade.ConfidentStage;
import org.oatlug.internal.cascade.RatingTable;
import org.oatlug.internal.cascade.StageChooser;

/**
 * Measures the cost of cascades at the quality target with the production stage chooser, compared
 * with the strongest model and with a fixed choice by prompt length. Stateless.
 */
final class CascadeBench {
  private static final Cascade CASCADE = new Cascade(List.of("small", "medium", "large"), 2, 0.9);
  private static final int[] COST_PER_THOUSAND_TOKENS = {200, 900, 4000};
  private static final int REQUESTS = 40_000;
  private static final int RUNS = 5;
  private static final int INSTANCES = 7;

  /** The actual fraction of responses that meet the target, by task and stage. */
  private static final Map<String, double[]> QUALITY =
      Map.of(
          "tag", new double[] {0.95, 0.97, 0.99},
          "question", new double[] {0.60, 0.93, 0.97},
          "specification", new double[] {0.10, 0.55, 0.96});

  private static final List<String> TASKS = List.of("tag", "question", "specification");
  private static final double[] TASK_FRACTIONS = {0.5, 0.42, 0.08};
  private static final int[] TOKENS_BY_TASK = {140, 520, 3500};

  private CascadeBench() {}

  static void run(ArrayNode rows) {
    System.out.printf(
        "%nCascades: cost for 1000 requests, share of answers that meet the target (%.0f%%)%n",
        CASCADE.qualityTarget() * 100);
    System.out.printf("%-30s %12s %12s%n", "policy", "cost", "target met");
    StageChooser strongest = (cascade, workspace, task, ratings, random) -> 2;
    StageChooser byLength =
        (cascade, workspace, task, ratings, random) -> TASKS.indexOf(task) == 0 ? 0 : 1;
    measure(rows, "always strongest", strongest, 1);
    measure(rows, "fixed by length", byLength, 1);
    measure(rows, "confident stage", ConfidentStage.create(), 1);
    measure(rows, "confident, no rating later", ConfidentStage.create(), 0.5);
    measure(rows, "confident, never a rating", ConfidentStage.create(), 0);
  }

  private static void measure(
      ArrayNode rows, String name, StageChooser chooser, double ratedFraction) {
    double cost = 0;
    double targetMet = 0;
    for (int run = 0; run < RUNS; run++) {
      double[] costAndFraction = simulateRequests(chooser, ratedFraction, new Random(run));
      cost += costAndFraction[0] / RUNS;
      targetMet += costAndFraction[1] / RUNS;
    }
    System.out.printf("%-30s %12.0f %11.1f%%%n", name, cost, targetMet * 100);
    rows.addObject()
        .put("group", "cascade")
        .put("policy", name)
        .put("costPerThousandRequests", cost)
        .put("targetMet", targetMet);
  }

  private static double[] simulateRequests(
      StageChooser chooser, double ratedFraction, Random random) {
    RatingTable[] tables = new RatingTable[INSTANCES];
    for (int index = 0; index < INSTANCES; index++) {
      tables[index] = RatingTable.create();
    }
    double cost = 0;
    int targetMet = 0;
    for (int number = 0; number < REQUESTS; number++) {
      int task = drawTask(random);
      String name = TASKS.get(task);
      RatingTable ratings = tables[random.nextInt(INSTANCES)];
      int stage = chooser.choose(CASCADE, "desk", name, ratings, random);
      boolean meetsTarget = random.nextDouble() < QUALITY.get(name)[stage];
      cost += TOKENS_BY_TASK[task] * COST_PER_THOUSAND_TOKENS[stage] / 1000.0;
      targetMet += meetsTarget ? 1 : 0;
      RatingTable.Subject subject =
          new RatingTable.Subject("desk", name, CASCADE.stages().get(stage));
      ratings.recordSubmission(subject);
      if (number < REQUESTS * ratedFraction) {
        ratings.recordRating(subject, meetsTarget);
      }
    }
    return new double[] {cost / REQUESTS * 1000, (double) targetMet / REQUESTS};
  }

  private static int drawTask(Random random) {
    double remaining = random.nextDouble();
    for (int task = 0; task < TASK_FRACTIONS.length; task++) {
      remaining -= TASK_FRACTIONS[task];
      if (remaining < 0) {
        return task;
      }
    }
    return TASK_FRACTIONS.length - 1;
  }
}
