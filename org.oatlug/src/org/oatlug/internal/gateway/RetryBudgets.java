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
 * Holds the retry budget of each service.
 *
 * <p>Each instance limits its retries to the agreed share of its own first tries, so that all
 * instances together stay within the share without coordination. The agreed reserve is divided
 * among the instances that are believed to be alive. Instances in a partitioned availability zone
 * still count as alive, so the parts of a partitioned fleet do not grow. Invariants: an instance
 * starts with one retry of the reserve, because its predecessor may have spent its part; if there
 * are more instances than retries in the reserve, each still gets one, and the unused part of the
 * share compensates for it. Owned by one event loop, not thread-safe.
 */
final class RetryBudgets {
  /** Used part of the share; the rest covers connections that only the upstream counts. */
  private static final double USED_SHARE = 0.85;

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
   * @param instances supplies the number of instances that share the reserve
   */
  static RetryBudgets within(GatewaySettings.Bounds bounds, IntSupplier instances) {
    DoubleSupplier reserve =
        () -> Math.max(1, bounds.retryReserve() / (double) Math.max(1, instances.getAsInt()));
    return new RetryBudgets(bounds.retryShare() * USED_SHARE, reserve);
  }

  /** Returns the retry budget of a service. */
  RetryBudget of(String service) {
    return budgets.computeIfAbsent(service, unused -> RetryBudget.earned(share, reserve));
  }
}
