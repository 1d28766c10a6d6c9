// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.oatlug.gateway.Route;

/**
 * Finds the route of a request by host and longest path prefix. Immutable, thread-safe.
 *
 * <p>Invariant: the routes of a host are tried with the longest prefix first.
 */
public final class RouteIndex {
  private final Map<String, List<Route>> byHost;

  private RouteIndex(Map<String, List<Route>> byHost) {
    this.byHost = byHost;
  }

  /** Returns an index without routes. */
  static RouteIndex empty() {
    return new RouteIndex(Map.of());
  }

  /** Returns an index of the routes. */
  public static RouteIndex of(List<Route> routes) {
    Map<String, List<Route>> byHost = new HashMap<>();
    for (Route route : routes) {
      byHost.computeIfAbsent(lowerCase(route.host()), unused -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    byHost.values().forEach(list -> list.sort(longestFirst));
    return new RouteIndex(byHost);
  }

  /** Returns the route of the host with the longest prefix of the path, empty if none matches. */
  public Optional<Route> find(String host, String path) {
    for (Route route : byHost.getOrDefault(lowerCase(host), List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  private static String lowerCase(String host) {
    return host.toLowerCase(Locale.ROOT);
  }
}
