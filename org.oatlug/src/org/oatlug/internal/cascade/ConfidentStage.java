// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.cascade;

import java.util.random.RandomGenerator;
import org.oatlug.config.Cascade;

/**
 * The cheapest stage whose share of met ratings is known to reach the target.
 *
 * <p>A stage counts as good enough when the lower bound of its share (Wilson's, one-sided) reaches
 * the target. A stage that may still turn out good enough is tried by a small share of the
 * requests. Without any knowledge the safe stage is taken. Stateless, thread-safe.
 */
public final class ConfidentStage implements StageChooser {
  private static final double EXPLORED_SHARE = 0.05;
  private static final double DEVIATIONS = 1.28;

  private ConfidentStage() {}

  /** Returns the chooser. */
  public static ConfidentStage create() {
    return new ConfidentStage();
  }

  @Override
  public int choose(
      Cascade cascade, String workspace, String task, RatingTable ratings, RandomGenerator random) {
    int good = cheapestGood(cascade, workspace, task, ratings);
    boolean explore = random.nextDouble() < EXPLORED_SHARE;
    if (!explore) {
      return good;
    }
    return cheapestPossible(cascade, workspace, task, ratings, good);
  }

  private static int cheapestGood(
      Cascade cascade, String workspace, String task, RatingTable ratings) {
    for (int stage = 0; stage < cascade.stages().size(); stage++) {
      RatingTable.Counts counts = countsOf(cascade, workspace, task, ratings, stage);
      if (counts.total() > 0 && bound(counts, -DEVIATIONS) >= cascade.qualityTarget()) {
        return stage;
      }
    }
    return cascade.safeStage();
  }

  private static int cheapestPossible(
      Cascade cascade, String workspace, String task, RatingTable ratings, int good) {
    for (int stage = 0; stage < good; stage++) {
      RatingTable.Counts counts = countsOf(cascade, workspace, task, ratings, stage);
      if (counts.total() == 0 || bound(counts, DEVIATIONS) >= cascade.qualityTarget()) {
        return stage;
      }
    }
    return good;
  }

  private static RatingTable.Counts countsOf(
      Cascade cascade, String workspace, String task, RatingTable ratings, int stage) {
    String model = cascade.stages().get(stage);
    return ratings.counts(new RatingTable.Subject(workspace, task, model));
  }

  private static double bound(RatingTable.Counts counts, double deviations) {
    double total = counts.total();
    double share = counts.met() / total;
    double square = deviations * deviations;
    double centre = share + square / (2 * total);
    double spread = Math.sqrt(share * (1 - share) / total + square / (4 * total * total));
    return (centre + deviations * spread) / (1 + square / total);
  }
}
