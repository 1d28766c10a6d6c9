// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

/**
 * Calculates the cost of sending a request of a plain service to a server from the predicted time
 * to the response.
 *
 * <p>A server of the own zone that is expected to answer within the goal comes first; otherwise the
 * server of any zone with the earliest predicted response. Stateless, thread-safe.
 */
public final class PredictedResponseCost {
  /** Additional time of a server that fails every request, as in {@link PlacementCost}. */
  private static final double FAILING_MILLIS = 800;

  /** Additional cost of a server to avoid, in milliseconds; exceeds any predicted time. */
  private static final double AVOIDED_MILLIS = 100_000;

  /**
   * Additional time of a cold server, as a share of the goal: it is used after warm servers of its
   * zone, but before another zone while it is not full.
   */
  private static final double COLD_SHARE_OF_GOAL = 0.5;

  private PredictedResponseCost() {}

  /**
   * State of a server that determines its cost.
   *
   * @param serviceMillis its service time without load, in milliseconds
   * @param load the estimated number of requests there
   * @param slots the maximum number of concurrently running requests
   * @param networkMillis the network time of a request and its response
   * @param otherZone whether it is in another availability zone
   * @param failureShare its share of failures and refusals, 0 to 1
   * @param cold whether it has recently started and has a reduced capacity
   * @param avoided whether it is to be used only if there is no other
   */
  public record ServerState(
      double serviceMillis,
      double load,
      int slots,
      double networkMillis,
      boolean otherZone,
      double failureShare,
      boolean cold,
      boolean avoided) {}

  /** Returns the factor by which a load prolongs a response: that of the wait for a slot. */
  public static double loadFactor(double load, int slots) {
    return Math.max(1, (load + 1) / slots);
  }

  /** Returns the predicted time to the response in milliseconds, with the time lost by failures. */
  public static double responseMillis(ServerState server, double goalMillis) {
    double millis =
        server.networkMillis() + server.serviceMillis() * loadFactor(server.load(), server.slots());
    millis += FAILING_MILLIS * server.failureShare();
    return server.cold() ? millis + COLD_SHARE_OF_GOAL * goalMillis : millis;
  }

  /** Returns the cost of sending a request to the server, in milliseconds. */
  public static double of(ServerState server, double goalMillis) {
    double millis = responseMillis(server, goalMillis);
    boolean ownZoneInTime = !server.otherZone() && millis <= goalMillis;
    double cost = ownZoneInTime ? millis : goalMillis + millis;
    return server.avoided() ? cost + AVOIDED_MILLIS : cost;
  }
}
