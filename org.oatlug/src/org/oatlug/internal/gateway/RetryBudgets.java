// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.internal.limit.RetryBudget;

/**
 * The retry budget of each service.
 *
 * <p>Each instance keeps to the agreed share of its own first tries, so that all instances together
 * keep to it without asking each other; the agreed reserve is split over the instances that are
 * believed to live. Those of a zone that is cut off are still believed to, so the parts of a cut
 * fleet do not grow. Invariants: an instance that starts brings one try of the reserve with it,
 * because its predecessor may have spent its part; with more instances than the reserve has tries
 * each keeps one, which the unused part of the share makes up for. Owned by one event loop, not
 * thread-safe.
 */
final class RetryBudgets {
  /** Leaves room for connections that an upstream counts and this instance does not. */
  private static final double SHARE_USED = 0.85;

  private final Map<String, RetryBudget> budgets = new HashMap<>();
  private final double share;
  private final DoubleSupplier reserve;

  private RetryBudgets(double share, DoubleSupplier reserve) {
    this.share = share;
    this.reserve = reserve;
  }

  /**
   * Returns budgets within the bounds of the deployment.
   *
   * @param instances how many instances share the reserve
   */
  static RetryBudgets within(GatewaySettings.Bounds bounds, IntSupplier instances) {
    DoubleSupplier reserve =
        () -> Math.max(1, bounds.retryReserve() / (double) Math.max(1, instances.getAsInt()));
    return new RetryBudgets(bounds.retryShare() * SHARE_USED, reserve);
  }

  /** Returns the budget of a service. */
  RetryBudget of(String service) {
    return budgets.computeIfAbsent(service, unused -> RetryBudget.earned(share, reserve));
  }
}
