// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.rollout;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.TreeMap;
import org.oatlug.internal.util.BoundedMap;

/**
 * Counts the recent responses of the versions in service, by service and route, for comparison with
 * a version that is ordered later.
 *
 * <p>Invariant: counts cover at most two windows and at most the tracked routes that were used
 * last. Owned by one event loop, not thread-safe.
 */
public final class RecentOutcomes {
  /** Failure rates of an earlier time may differ from those during a roll-out. */
  private static final Duration WINDOW = Duration.ofSeconds(60);

  private static final int MAXIMUM_TRACKED_ROUTES = 1024;

  private final InstantSource clock;
  private Map<Key, OutcomeCounts> current = BoundedMap.withMaximumSize(MAXIMUM_TRACKED_ROUTES);
  private Map<Key, OutcomeCounts> previous = Map.of();
  private Instant windowStart;

  private record Key(String service, String route) {}

  private RecentOutcomes(InstantSource clock) {
    this.clock = clock;
    this.windowStart = clock.instant();
  }

  /** Returns counts without responses. */
  public static RecentOutcomes create(InstantSource clock) {
    return new RecentOutcomes(clock);
  }

  /** Counts a response of a version in service. */
  public void add(String service, String route, boolean failed) {
    expire();
    current.merge(new Key(service, route), OutcomeCounts.of(false, failed), OutcomeCounts::plus);
  }

  /** Returns the counts of the routes of a service, the maximum number that is counted apart. */
  public Map<String, OutcomeCounts> of(String service) {
    expire();
    Map<String, OutcomeCounts> byRoute = new TreeMap<>();
    addRoutes(service, current, byRoute);
    addRoutes(service, previous, byRoute);
    return byRoute;
  }

  private static void addRoutes(
      String service, Map<Key, OutcomeCounts> window, Map<String, OutcomeCounts> byRoute) {
    window.forEach(
        (key, counts) -> {
          boolean tracked =
              byRoute.containsKey(key.route())
                  || byRoute.size() < ServiceOutcomes.MAXIMUM_ROUTES - 1;
          if (key.service().equals(service) && tracked) {
            byRoute.merge(key.route(), counts, OutcomeCounts::plus);
          }
        });
  }

  private void expire() {
    Instant now = clock.instant();
    if (now.isAfter(windowStart.plus(WINDOW))) {
      boolean consecutive = !now.isAfter(windowStart.plus(WINDOW.multipliedBy(2)));
      previous = consecutive ? current : Map.of();
      current = BoundedMap.withMaximumSize(MAXIMUM_TRACKED_ROUTES);
      windowStart = now;
    }
  }
}
