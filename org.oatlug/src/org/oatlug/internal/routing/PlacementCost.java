// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import org.oatlug.internal.engine.FirstTokenForecast;

/**
 * Calculates the cost of sending a request to an upstream, in milliseconds of waiting.
 *
 * <p>For a model engine the cost starts from the expected time to first token, with the prefill
 * weighted for the delay of queued requests; for a plain service, which has no such forecast, it
 * starts from zero. Load, failures, cold starts, ejection and traffic between availability zones
 * add to it. Stateless, thread-safe.
 */
public final class PlacementCost {
  /**
   * Additional cost of a plain service in another zone, in milliseconds. Such an upstream is chosen
   * only if the upstreams of the own zone are full or failing.
   */
  private static final double OTHER_ZONE_MILLIS = 400;

  /**
   * Additional cost of a kilobyte of prompt sent to another zone, in milliseconds. It weighs the
   * price of traffic between zones against the value that a response loses by a long wait.
   */
  private static final double OTHER_ZONE_MILLIS_PER_KILOBYTE = 50;

  private static final double KILOBYTE = 1000;

  /** Additional cost of a fully loaded upstream over an idle one, in milliseconds. */
  private static final double FULL_LOAD_MILLIS = 300;

  /** Cost of each request in excess of the slots of an upstream, in milliseconds. */
  private static final double QUEUED_MILLIS = 100;

  /** Additional cost of an ejected upstream, in milliseconds; exceeds the cost of any load. */
  private static final double EJECTED_MILLIS = 100_000;

  /**
   * Additional cost of an upstream that fails or refuses every request, in milliseconds. Each
   * failure uses an attempt, its time and a part of the retry budget.
   */
  private static final double FAILING_MILLIS = 800;

  /**
   * Additional cost of a cold upstream, in milliseconds. It equals that of a full upstream, so that
   * warm upstreams are preferred until they are full, but not beyond.
   */
  private static final double COLD_MILLIS = FULL_LOAD_MILLIS;

  /** Weight of the prefill time, which delays the request itself and those queued behind it. */
  private static final double PREFILL_WEIGHT = 2;

  private PlacementCost() {}

  /**
   * State of an upstream that determines its cost for a request.
   *
   * @param forecast the forecast of the time to first token; {@link FirstTokenForecast#NONE} for a
   *     plain service
   * @param load the estimated number of requests at the upstream
   * @param slots the maximum number of concurrently running requests
   * @param otherZone whether it is in another availability zone
   * @param failureShare its share of failures and refusals, 0 to 1
   * @param cold whether it has recently started and has a reduced capacity
   * @param avoided whether it is ejected, or to be avoided like an ejected one: because its zone is
   *     unreachable, or because it runs a request that is suspected of crashing upstreams
   */
  public record UpstreamState(
      FirstTokenForecast forecast,
      double load,
      int slots,
      boolean otherZone,
      double failureShare,
      boolean cold,
      boolean avoided) {}

  /**
   * Returns the cost of sending a request to an upstream, in milliseconds.
   *
   * @param bodyBytes the size of the request body, in bytes
   */
  public static double of(UpstreamState state, int bodyBytes) {
    return of(state, bodyBytes, 1);
  }

  /**
   * Returns the cost of sending a request to an upstream of a lasting pace, in milliseconds. The
   * forecast includes the pace.
   *
   * @param pace the factor by which the upstream takes longer than its peers
   */
  public static double of(UpstreamState state, int bodyBytes, double pace) {
    FirstTokenForecast forecast = state.forecast();
    double cost = forecast.waitingMillis() + PREFILL_WEIGHT * forecast.prefillMillis();
    cost += pace * FULL_LOAD_MILLIS * state.load() / state.slots();
    cost += pace * QUEUED_MILLIS * Math.max(0, state.load() + 1 - state.slots());
    cost += FAILING_MILLIS * state.failureShare();
    if (state.cold()) {
      cost += COLD_MILLIS;
    }
    if (state.otherZone()) {
      cost += crossZoneCost(forecast, bodyBytes);
    }
    return state.avoided() ? cost + EJECTED_MILLIS : cost;
  }

  private static double crossZoneCost(FirstTokenForecast forecast, int bodyBytes) {
    boolean isEngine = !forecast.equals(FirstTokenForecast.NONE);
    return isEngine ? crossZoneMillis(bodyBytes) : OTHER_ZONE_MILLIS;
  }

  /** Returns the additional cost of sending a prompt to another zone, in milliseconds. */
  public static double crossZoneMillis(int bodyBytes) {
    return OTHER_ZONE_MILLIS_PER_KILOBYTE * bodyBytes / KILOBYTE;
  }
}
