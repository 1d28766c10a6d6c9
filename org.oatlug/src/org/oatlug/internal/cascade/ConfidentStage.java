// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.cascade;

import java.util.random.RandomGenerator;
import org.oatlug.config.Cascade;

/**
 * Chooses the cheapest stage whose share of ratings that met the target is known to be sufficient.
 *
 * <p>A stage is used if the lower bound of the Wilson score interval of its share reaches the
 * target. A cheaper stage than the safe one whose upper bound reaches the target is explored by a
 * share of the requests: by a larger share while it has few ratings, and by none while too many
 * ratings are outstanding. Without ratings the safe stage is used. Stateless, thread-safe.
 */
public final class ConfidentStage implements StageChooser {
  private static final double INITIAL_EXPLORATION_SHARE = 0.2;
  private static final double EXPLORATION_SHARE = 0.05;
  private static final double INITIAL_RATINGS = 100;
  private static final int MAXIMUM_UNRATED = 30;
  private static final double DEVIATIONS_TO_USE = 0.8;
  private static final double DEVIATIONS_TO_EXPLORE = 2;

  private ConfidentStage() {}

  /** Returns the chooser. */
  public static ConfidentStage create() {
    return new ConfidentStage();
  }

  @Override
  public int choose(
      Cascade cascade, String workspace, String task, RatingTable ratings, RandomGenerator random) {
    for (int stage = 0; stage < cascade.stages().size(); stage++) {
      String model = cascade.stages().get(stage);
      RatingTable.Counts counts = ratings.counts(new RatingTable.Subject(workspace, task, model));
      if (reachesTarget(counts, cascade.qualityTarget())) {
        return stage;
      }
      boolean isCheaper = stage < cascade.safeStage();
      if (isCheaper && shouldExplore(counts, cascade.qualityTarget(), random.nextDouble())) {
        return stage;
      }
    }
    return cascade.safeStage();
  }

  private static boolean reachesTarget(RatingTable.Counts counts, double target) {
    return counts.total() > 0 && wilsonBound(counts, -DEVIATIONS_TO_USE) >= target;
  }

  private static boolean shouldExplore(RatingTable.Counts counts, double target, double sample) {
    double share = counts.total() < INITIAL_RATINGS ? INITIAL_EXPLORATION_SHARE : EXPLORATION_SHARE;
    boolean mayReachTarget =
        counts.total() == 0 || wilsonBound(counts, DEVIATIONS_TO_EXPLORE) >= target;
    return mayReachTarget && counts.unrated() < MAXIMUM_UNRATED && sample < share;
  }

  private static double wilsonBound(RatingTable.Counts counts, double standardDeviations) {
    double total = counts.total();
    double share = counts.met() / total;
    double square = standardDeviations * standardDeviations;
    double centre = share + square / (2 * total);
    double spread = Math.sqrt(share * (1 - share) / total + square / (4 * total * total));
    return (centre + standardDeviations * spread) / (1 + square / total);
  }
}
