// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import java.util.OptionalLong;
import org.oatlug.internal.engine.FirstTokenForecast;

/**
 * Decides whether an upstream has room for a request that may wait. Stateless, thread-safe.
 *
 * <p>An engine reads a long prompt in chunks between the tokens of other requests, so that an
 * urgent request is delayed by a prefill that has begun. The rule bounds the prefill time that can
 * be in front of an urgent request.
 */
public final class RoomRule {
  /** The prefill time that may be pending, as a share of the goal of the urgent requests. */
  public static final double PENDING_SHARE_OF_GOAL = 0.25;

  /** A pending prefill time below this, in milliseconds, counts as none. */
  private static final double NOTHING_PENDING_MILLIS = 1;

  private RoomRule() {}

  /**
   * Returns whether the upstream has room.
   *
   * @param forecast the forecast for the request at the upstream
   * @param load the estimated number of requests at the upstream
   * @param slots the maximum number of concurrently running requests
   * @param urgentGoalMillis the shortest goal of the requests that must not be delayed, in
   *     milliseconds; empty if there are none
   */
  public static boolean hasRoom(
      FirstTokenForecast forecast, double load, int slots, OptionalLong urgentGoalMillis) {
    if (load >= Math.max(1, slots)) {
      return false;
    }
    if (urgentGoalMillis.isEmpty() || forecast.waitingMillis() < NOTHING_PENDING_MILLIS) {
      return true;
    }
    double pendingMillis = forecast.waitingMillis() + forecast.prefillMillis();
    return pendingMillis <= PENDING_SHARE_OF_GOAL * urgentGoalMillis.getAsLong();
  }
}
