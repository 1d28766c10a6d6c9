// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.function.Function;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.Route;
import org.oatlug.internal.engine.FirstTokenForecast;

/**
 * Decides which model of a cascade answers first, and which one replaces an answer of low
 * confidence.
 *
 * <p>Implementations are owned by one event loop.
 */
interface StageRule {

  /** Returns the first stage for requests of the route; 0 is the smallest model. */
  int firstStage(Route route);

  /**
   * An answer that may be discarded in favour of a later stage.
   *
   * @param route the route
   * @param service the service that answered
   * @param generation the generation parameters that the request states
   * @param stage the stage that answered
   * @param confidence the confidence that the model states for its answer, 0 to 100
   * @param elapsed the time since the request arrived
   * @param forecastOf the forecast of the time to the head for a model, at the upstream that would
   *     be chosen
   */
  record LowConfidenceResponse(
      Route route,
      String service,
      Generation generation,
      int stage,
      int confidence,
      Duration elapsed,
      Function<String, FirstTokenForecast> forecastOf) {}

  /** Returns the stage that is to replace the answer, empty to accept the answer. */
  OptionalInt replacementStage(LowConfidenceResponse answer);
}
