// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.RouteKind;
import org.testng.annotations.Test;

/** Guards against holding back requests of routes that have too little time for it. */
public class DeferrableRoutesTest {
  static Route route(String name, int priority, long goalMillis, String... services) {
    List<Route.WeightedTarget> targets =
        Arrays.stream(services).map(service -> new Route.WeightedTarget(service, 1)).toList();
    return new Route(
        name,
        "shop.example",
        "/" + name,
        RouteKind.STREAM,
        20_000,
        goalMillis,
        3,
        priority,
        false,
        false,
        true,
        0,
        List.of("small"),
        targets);
  }

  @Test
  public void testRouteWithSlackOverAllMoreUrgentOnesIsDeferrable() {
    Route chat = route("chat", 0, 2000, "engines");
    Route tags = route("tags", 1, 2000, "engines");
    Route digests = route("digests", 2, 8000, "engines");
    DeferrableRoutes routes = DeferrableRoutes.of(List.of(digests, chat, tags));
    assertTrue(routes.contains("engines", digests));
    assertFalse(routes.contains("engines", chat));
    assertFalse(routes.contains("engines", tags));
    assertEquals(routes.services(), Set.of("engines"));
    assertEquals(routes.shortestUrgentGoalMillis("engines", digests), OptionalLong.of(2000));
    assertEquals(routes.shortestUrgentGoalMillis("engines", chat), OptionalLong.empty());
  }

  @Test
  public void testSlackIsNeededOverEachMoreUrgentRoute() {
    Route reviews = route("reviews", 0, 3000, "engines");
    Route descriptions = route("descriptions", 1, 3251, "engines");
    Route tags = route("tags", 2, 4000, "engines");
    assertTrue(DeferrableRoutes.of(List.of(reviews, descriptions, tags)).isEmpty());
    assertFalse(DeferrableRoutes.of(List.of(reviews, tags)).isEmpty());
  }

  @Test
  public void testRoutesOfOtherServicesDoNotCount() {
    Route chat = route("chat", 0, 2000, "engines");
    Route orders = route("orders", 2, 5000, "orders");
    Route both = route("both", 2, 5000, "orders", "engines");
    assertTrue(DeferrableRoutes.of(List.of(chat, orders)).isEmpty());
    DeferrableRoutes routes = DeferrableRoutes.of(List.of(chat, orders, both));
    assertTrue(routes.contains("engines", both));
    assertFalse(routes.contains("orders", both));
  }
}
