// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.internal.limit.RetryBudget;

/**
 * The retry budget of each service.
 *
 * <p>Each instance keeps to the agreed share of its own first tries, so that all instances together
 * keep to it without asking each other; the agreed reserve is split over a fixed number of
 * instances. Owned by one event loop, not thread-safe.
 */
final class RetryBudgets {
  /** Leaves room for connections that an upstream counts and this instance does not. */
  private static final double SHARE_USED = 0.85;

  /** The instances over which the reserve is split: twice those of the larger user. */
  private static final double RESERVE_SPLIT = 14;

  private final Map<String, RetryBudget> budgets = new HashMap<>();
  private final double share;
  private final double reserve;

  private RetryBudgets(double share, double reserve) {
    this.share = share;
    this.reserve = reserve;
  }

  /**
   * Returns budgets within the bounds of the deployment.
   *
   * @param instances how many instances share the reserve
   */
  static RetryBudgets within(GatewaySettings.Bounds bounds, IntSupplier instances) {
    double reserve = Math.max(1, bounds.retryReserve() / RESERVE_SPLIT);
    return new RetryBudgets(bounds.retryShare() * SHARE_USED, reserve);
  }

  /** Returns the budget of a service. */
  RetryBudget of(String service) {
    return budgets.computeIfAbsent(service, unused -> RetryBudget.of(share, reserve));
  }
}
