// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import java.time.Duration;
import java.util.List;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.RouteKind;

/** Service, route and bounds shared by roll-out tests. Immutable, thread-safe. */
final class RolloutSample {
  static final String SERVICE = "pool";
  static final String OLD = "v1";
  static final String NEW = "v2";

  /** The maximum idle time of a session. */
  static final Duration SESSION_PAUSE = Duration.ofSeconds(5);

  static final GatewaySettings.Bounds BOUNDS =
      new GatewaySettings.Bounds(
          Duration.ofSeconds(8),
          0.9,
          52,
          0.15,
          SESSION_PAUSE,
          1.5,
          5,
          Duration.ofSeconds(2),
          Duration.ofSeconds(2));

  static final Route ROUTE = route("r");

  private RolloutSample() {}

  /** Returns a route to the service whose requests may be repeated. */
  static Route route(String name) {
    return new Route(
        name,
        "h",
        "/",
        RouteKind.REPEATABLE,
        2000,
        300,
        2,
        1,
        true,
        false,
        false,
        0,
        List.of(),
        List.of(new Route.WeightedTarget(SERVICE, 1)));
  }
}
