// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.util.OptionalInt;
import org.oatlug.gateway.Route;

/**
 * Which model of a cascade answers first, and which one goes on when an answer seems poor.
 *
 * <p>Implementations belong to one event loop.
 */
interface StageRule {

  /** Returns the stage that a request of the route begins with; 0 is the smallest model. */
  int first(Route route);

  /**
   * Returns the stage to ask instead of taking an answer, empty to take it.
   *
   * @param stage the stage that answers
   * @param confidence the model's opinion of its answer, 0 to 100
   */
  OptionalInt insteadOf(Route route, int stage, int confidence);

  /**
   * Returns the rule that starts with the smallest model and goes straight to the largest when the
   * confidence is below the threshold.
   */
  static StageRule smallestThenLargest(int threshold) {
    return new StageRule() {
      @Override
      public int first(Route route) {
        return 0;
      }

      @Override
      public OptionalInt insteadOf(Route route, int stage, int confidence) {
        int largest = route.models().size() - 1;
        boolean poor = confidence < threshold && stage < largest;
        return poor ? OptionalInt.of(largest) : OptionalInt.empty();
      }
    };
  }
}
