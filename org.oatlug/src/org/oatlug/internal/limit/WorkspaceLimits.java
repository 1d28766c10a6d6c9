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
 * The rates of workspaces, split evenly over the live instances.
 *
 * <p>The balancer spreads callers evenly, so an even split with a burst of a second fits; an
 * instance never gets less than a floor. Owned by one event loop, not thread-safe.
 */
public final class WorkspaceLimits {
  private static final double FLOOR_PER_SECOND = 0.5;
  private static final double HEADROOM = 1.2;

  private final Map<String, TokenBucket> buckets = new HashMap<>();
  private final IntSupplier instances;

  private WorkspaceLimits(IntSupplier instances) {
    this.instances = instances;
  }

  /** Returns limits that are split over as many instances as the supplier says. */
  public static WorkspaceLimits create(IntSupplier instances) {
    return new WorkspaceLimits(instances);
  }

  /** Takes one request and returns empty, or returns when the next may come. */
  public Optional<Duration> take(String name, Workspace workspace, Instant now) {
    double share = workspace.requestsPerSecond() * HEADROOM / Math.max(1, instances.getAsInt());
    double rate = Math.max(FLOOR_PER_SECOND, share);
    TokenBucket bucket = buckets.computeIfAbsent(name, unused -> TokenBucket.full(rate, now));
    if (bucket.take(rate, now)) {
      return Optional.empty();
    }
    return Optional.of(bucket.untilNext(rate));
  }
}
