// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.cascade;

import java.util.random.RandomGenerator;
import org.oatlug.config.Cascade;

/** Selects the stage of a cascade at which a request starts; implementations keep no state. */
@FunctionalInterface
public interface StageChooser {

  /**
   * Returns the index of the stage, from 0.
   *
   * @param cascade the cascade
   * @param workspace the workspace
   * @param task the caller's task name
   * @param ratings the rating counts of the stages
   * @param random the random number generator
   */
  int choose(
      Cascade cascade, String workspace, String task, RatingTable ratings, RandomGenerator random);
}
