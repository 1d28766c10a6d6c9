// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import org.oatlug.internal.engine.HeadForecast;

/**
 * What it costs to have an upstream answer a request, in milliseconds of waiting.
 *
 * <p>For a model engine it is the expected time to the head of the answer, with the reading of the
 * prompt counted for those too that wait behind it; for a plain service it follows the load. On top
 * come failures and the way into another availability zone. Stateless, thread-safe.
 */
public final class PlacementCost {
  /**
   * What a request to a plain service in another zone costs more, in milliseconds: it goes there
   * when those of the own zone are full or fail.
   */
  private static final double OTHER_ZONE_MILLIS = 400;

  /**
   * What a kilobyte of a prompt costs on its way into another zone, in milliseconds: bytes between
   * zones have a price, a long wait costs most of what an answer is worth.
   */
  private static final double OTHER_ZONE_MILLIS_PER_KILOBYTE = 50;

  private static final double KILOBYTE = 1000;

  /** What a fully used upstream costs more than an empty one, in milliseconds. */
  private static final double FULL_LOAD_MILLIS = 300;

  /** What each request beyond the slots of an upstream costs, in milliseconds. */
  private static final double WAITING_MILLIS = 100;

  /** What an upstream that is kept out costs, in milliseconds: more than any load. */
  private static final double KEPT_OUT_MILLIS = 100_000;

  /**
   * What an upstream costs more that fails or refuses every request, in milliseconds: each takes an
   * attempt, its time and a part of the retry budget.
   */
  private static final double FAILING_MILLIS = 800;

  /**
   * What an upstream costs more that is cold, in milliseconds: as much as a full one, so that those
   * that bear more are asked first and it is asked before they overflow.
   */
  private static final double COLD_MILLIS = FULL_LOAD_MILLIS;

  /** How often the reading of a prompt counts: for the request itself and for those behind it. */
  private static final double READING_WEIGHT = 2;

  private PlacementCost() {}

  /**
   * An upstream as a place for a request.
   *
   * @param forecast what is expected until the answer begins; {@link HeadForecast#NONE} for a plain
   *     service
   * @param load the requests that it is believed to have
   * @param slots how many it works on at once
   * @param otherZone whether it is in another availability zone
   * @param failureShare its share of failures and refusals, 0 to 1
   * @param cold whether it has just started and bears few requests
   * @param keptOut whether it is kept out after failures
   */
  public record Place(
      HeadForecast forecast,
      double load,
      int slots,
      boolean otherZone,
      double failureShare,
      boolean cold,
      boolean keptOut) {}

  /**
   * Returns the cost of a place.
   *
   * @param bodyBytes the size of the request
   */
  public static double of(Place place, int bodyBytes) {
    HeadForecast forecast = place.forecast();
    double cost = forecast.waitingMillis() + READING_WEIGHT * forecast.readingMillis();
    cost += FULL_LOAD_MILLIS * place.load() / place.slots();
    cost += WAITING_MILLIS * Math.max(0, place.load() + 1 - place.slots());
    cost += FAILING_MILLIS * place.failureShare();
    if (place.cold()) {
      cost += COLD_MILLIS;
    }
    if (place.otherZone()) {
      cost += otherZone(forecast, bodyBytes);
    }
    return place.keptOut() ? cost + KEPT_OUT_MILLIS : cost;
  }

  private static double otherZone(HeadForecast forecast, int bodyBytes) {
    boolean engine = !forecast.equals(HeadForecast.NONE);
    return engine ? otherZoneOfEngine(bodyBytes) : OTHER_ZONE_MILLIS;
  }

  /** Returns what the way of a prompt into another zone costs, in milliseconds. */
  public static double otherZoneOfEngine(int bodyBytes) {
    return OTHER_ZONE_MILLIS_PER_KILOBYTE * bodyBytes / KILOBYTE;
  }
}
