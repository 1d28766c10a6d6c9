// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.cascade;

import java.util.random.RandomGenerator;
import org.oatlug.config.Cascade;

/**
 * The cheapest stage whose share of met ratings is known to reach the target.
 *
 * <p>A stage is used when the lower bound of its share (Wilson's) reaches the target. A cheaper
 * stage whose upper bound reaches it is tried by some of the requests: by more while little is
 * known of it, and by none while ratings stay away. Without knowledge the safe stage is taken.
 * Stateless, thread-safe.
 */
public final class ConfidentStage implements StageChooser {
  private static final double TRIED_WHILE_UNKNOWN = 0.2;
  private static final double TRIED_AFTERWARDS = 0.05;
  private static final double KNOWN_FROM = 100;
  private static final int MOST_UNRATED = 30;
  private static final double DEVIATIONS_TO_USE = 0.8;
  private static final double DEVIATIONS_TO_TRY = 2;

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
      if (isGood(counts, cascade.qualityTarget())) {
        return stage;
      }
      boolean cheaper = stage < cascade.safeStage();
      if (cheaper && isWorthTrying(counts, cascade.qualityTarget(), random.nextDouble())) {
        return stage;
      }
    }
    return cascade.safeStage();
  }

  private static boolean isGood(RatingTable.Counts counts, double target) {
    return counts.total() > 0 && bound(counts, -DEVIATIONS_TO_USE) >= target;
  }

  private static boolean isWorthTrying(RatingTable.Counts counts, double target, double drawn) {
    double share = counts.total() < KNOWN_FROM ? TRIED_WHILE_UNKNOWN : TRIED_AFTERWARDS;
    boolean possible = counts.total() == 0 || bound(counts, DEVIATIONS_TO_TRY) >= target;
    return possible && counts.unrated() < MOST_UNRATED && drawn < share;
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
