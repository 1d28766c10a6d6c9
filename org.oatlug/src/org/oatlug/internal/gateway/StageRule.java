// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.function.Function;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.Route;
import org.oatlug.internal.engine.HeadForecast;

/**
 * Which model of a cascade answers first, and which one is asked instead when an answer seems poor.
 *
 * <p>Implementations belong to one event loop.
 */
interface StageRule {

  /** Returns the stage that a request of the route begins with; 0 is the smallest model. */
  int first(Route route);

  /**
   * An answer that may be dropped.
   *
   * @param route the route
   * @param service the service that answers
   * @param generation what the request says of itself
   * @param stage the stage that answers
   * @param confidence the model's opinion of its answer, 0 to 100
   * @param elapsed how long the caller has waited
   * @param expected what is expected of another model where it would be asked
   */
  record Poor(
      Route route,
      String service,
      Generation generation,
      int stage,
      int confidence,
      Duration elapsed,
      Function<String, HeadForecast> expected) {}

  /** Returns the stage to ask instead of taking the answer, empty to take it. */
  OptionalInt insteadOf(Poor answer);
}
