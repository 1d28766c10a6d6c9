// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.oatlug.config.Workspace;

/**
 * Limits the request rates of workspaces, split evenly over the live instances.
 *
 * <p>The load balancer spreads callers evenly, so an even split with a burst of one second is
 * adequate; the share of an instance has a minimum. Owned by one event loop, not thread-safe.
 */
public final class WorkspaceLimits {
  private static final double MINIMUM_PER_SECOND = 0.5;
  private static final double HEADROOM = 1.2;

  private final Map<String, TokenBucket> buckets = new HashMap<>();
  private final IntSupplier instances;

  private WorkspaceLimits(IntSupplier instances) {
    this.instances = instances;
  }

  /** Returns limits that are split over the supplied number of live instances. */
  public static WorkspaceLimits create(IntSupplier instances) {
    return new WorkspaceLimits(instances);
  }

  /** Admits a request and returns empty, or returns the time until the next is admitted. */
  public Optional<Duration> take(String name, Workspace workspace, Instant now) {
    double share = workspace.requestsPerSecond() * HEADROOM / Math.max(1, instances.getAsInt());
    double rate = Math.max(MINIMUM_PER_SECOND, share);
    TokenBucket bucket = buckets.computeIfAbsent(name, unused -> TokenBucket.full(rate, now));
    if (bucket.take(rate, now)) {
      return Optional.empty();
    }
    return Optional.of(bucket.untilNext(rate));
  }
}
