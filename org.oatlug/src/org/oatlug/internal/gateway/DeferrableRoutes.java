// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.oatlug.gateway.Route;

/**
 * The routes of a configuration whose requests may be delayed in favour of more urgent ones, by
 * service. Computed once for a configuration. Immutable, thread-safe.
 *
 * <p>A route is deferrable at a service if a more urgent route of that service exists and the goal
 * of the route is longer, by {@link #MINIMUM_SLACK_MILLIS} or more, than that of each more urgent
 * route. The load that other instances report is up to that old, so that a decision that defers by
 * less would follow outdated reports.
 */
public final class DeferrableRoutes {
  /**
   * The minimum difference between the goals of a deferrable route and a more urgent one. Reports
   * are refreshed every 500 ms in a zone and every 300 ms between zones; the requests in between
   * count.
   */
  static final long MINIMUM_SLACK_MILLIS = 750;

  private final Map<String, List<Route>> byService;
  private final Map<String, Set<String>> deferrableNames;

  private DeferrableRoutes(
      Map<String, List<Route>> byService, Map<String, Set<String>> deferrableNames) {
    this.byService = byService;
    this.deferrableNames = deferrableNames;
  }

  /** Returns the deferrable routes among these routes. */
  public static DeferrableRoutes of(List<Route> routes) {
    Map<String, List<Route>> byService = new HashMap<>();
    for (Route route : routes) {
      for (Route.WeightedTarget target : route.targets()) {
        byService.computeIfAbsent(target.service(), unused -> new ArrayList<>()).add(route);
      }
    }
    Map<String, Set<String>> names = new HashMap<>();
    byService.forEach(
        (service, ofService) -> {
          for (Route route : ofService) {
            if (isDeferrable(route, ofService)) {
              names.computeIfAbsent(service, unused -> new HashSet<>()).add(route.name());
            }
          }
        });
    return new DeferrableRoutes(byService, names);
  }

  private static boolean isDeferrable(Route route, List<Route> routes) {
    List<Route> moreUrgent =
        routes.stream()
            .filter(other -> other.priority() < route.priority() && other.goalMillis() > 0)
            .toList();
    return !moreUrgent.isEmpty()
        && moreUrgent.stream()
            .allMatch(other -> route.goalMillis() - other.goalMillis() >= MINIMUM_SLACK_MILLIS);
  }

  /**
   * Returns the ranks of the routes of a service, and whether all routes of each are deferrable.
   */
  Map<Integer, Boolean> ranksOf(String service) {
    Map<Integer, Boolean> ranks = new TreeMap<>();
    for (Route route : byService.getOrDefault(service, List.of())) {
      ranks.merge(route.priority(), contains(service, route), Boolean::logicalAnd);
    }
    return ranks;
  }

  /** Returns whether a service has a deferrable route. */
  boolean hasAny(String service) {
    return deferrableNames.containsKey(service);
  }

  /** Returns whether no service has a deferrable route. */
  public boolean isEmpty() {
    return deferrableNames.isEmpty();
  }

  /** Returns whether the route is deferrable at the service. */
  public boolean contains(String service, Route route) {
    Set<String> names = deferrableNames.get(service);
    return names != null && names.contains(route.name());
  }

  /** Returns the services that have a deferrable route. */
  public Set<String> services() {
    return Set.copyOf(deferrableNames.keySet());
  }

  /** Returns the shortest goal of the more urgent routes of the service, empty if none is. */
  public OptionalLong shortestUrgentGoalMillis(String service, Route route) {
    return goalsOf(service, route.priority() - 1);
  }

  /**
   * Returns the shortest goal of the routes of the service that are at least as urgent, including
   * that of the route itself.
   */
  public OptionalLong shortestGoalMillisUpTo(String service, Route route) {
    return goalsOf(service, route.priority());
  }

  private OptionalLong goalsOf(String service, int lowestPriority) {
    return Optional.ofNullable(byService.get(service)).stream()
        .flatMap(List::stream)
        .filter(other -> other.priority() <= lowestPriority && other.goalMillis() > 0)
        .mapToLong(Route::goalMillis)
        .min();
  }
}
