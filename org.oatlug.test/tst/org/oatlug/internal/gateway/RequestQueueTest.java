// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.oatlug.api.ObjectKey;
import org.oatlug.gateway.CallerLimits;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.GatewaySettings.Switch;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.RouteKind;
import org.oatlug.gateway.RoutingConfiguration;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.Test;

/** Guards against waits of requests that cannot afford them. */
public class RequestQueueTest {
  private static final Route CHAT = route("chat", 0, 2000, "engines");
  private static final Route TAGS = route("tags", 1, 2000, "engines");
  private static final Route DIGESTS = route("digests", 2, 8000, "engines");

  private final VirtualTime time = new VirtualTime();

  private static Route route(String name, int priority, long goalMillis, String service) {
    RouteKind kind = RouteKind.STREAM;
    List<Route.WeightedTarget> targets = List.of(new Route.WeightedTarget(service, 1));
    return new Route(
        name,
        "host",
        "/",
        kind,
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

  private RequestQueue queue(Switch setting, WorkspaceShareRule shares, Route... routes) {
    GatewayTables tables = GatewayTables.create(time);
    ObjectKey key = ObjectKey.valueOf(GatewayKinds.ROUTING, "main");
    RoutingConfiguration value =
        new RoutingConfiguration(
            1, List.of(routes), List.of(), CallerLimits.DEFAULT, Optional.empty());
    tables.mergeAll(
        List.of(StoredObject.of(key, StoreRevision.ofNumber(1), Json.STRICT.valueToTree(value))));
    return RequestQueue.create(null, time, setting, tables, shares);
  }

  private Optional<RequestQueue.Terms> terms(RequestQueue queue, Route route, int timeoutSeconds) {
    Instant now = time.instant();
    return queue.termsOf(
        "engines", route, Optional.of("large"), now, now.plusSeconds(timeoutSeconds));
  }

  private Optional<Long> boundMillis(RequestQueue queue, Route route, int timeoutSeconds) {
    return terms(queue, route, timeoutSeconds)
        .map(terms -> Duration.between(time.instant(), terms.bound()).toMillis());
  }

  @Test
  public void testRouteIsDeferrableWithSlackOverEachMoreUrgentRouteOfItsService() {
    DeferrableRoutes routes = DeferrableRoutes.of(List.of(DIGESTS, CHAT, TAGS));
    assertTrue(routes.contains("engines", DIGESTS));
    assertFalse(routes.contains("engines", CHAT) || routes.contains("engines", TAGS));
    assertEquals(routes.services(), Set.of("engines"));
    assertEquals(routes.shortestUrgentGoalMillis("engines", DIGESTS), OptionalLong.of(2000));
    Route between = route("between", 1, 7251, "engines");
    assertFalse(DeferrableRoutes.of(List.of(DIGESTS, CHAT, between)).contains("engines", DIGESTS));
    Route other = route("other", 2, 8000, "others");
    assertTrue(DeferrableRoutes.of(List.of(CHAT, other)).isEmpty());
  }

  @Test
  public void testTermsFollowSwitchAndConfiguration() {
    RequestQueue automatic = queue(Switch.AUTO, WorkspaceShareRule.NEVER, CHAT, DIGESTS);
    assertTrue(automatic.isUsed());
    assertEquals(boundMillis(automatic, DIGESTS, 20), Optional.of(4000L));
    assertEquals(boundMillis(automatic, DIGESTS, 5), Optional.of(2500L));
    assertEquals(boundMillis(automatic, CHAT, 20), Optional.empty());
    assertFalse(queue(Switch.OFF, WorkspaceShareRule.NEVER, CHAT, DIGESTS).isUsed());
    assertFalse(queue(Switch.AUTO, WorkspaceShareRule.NEVER, CHAT).isUsed());
    RequestQueue on = queue(Switch.ON, WorkspaceShareRule.NEVER, CHAT);
    assertEquals(boundMillis(on, CHAT, 20), Optional.of(250L));
  }

  /** Guards against a workspace beyond its share that delays the others of its rank. */
  @Test
  public void testRequestOfWorkspaceBeyondItsShareIsDeferrable() {
    RequestQueue queue =
        queue(Switch.AUTO, (service, workspace) -> workspace.equals("large"), CHAT, DIGESTS);
    assertEquals(boundMillis(queue, CHAT, 20), Optional.of(1000L));
    assertEquals(terms(queue, CHAT, 20).orElseThrow().urgentGoalMillis(), OptionalLong.of(2000));
  }
}
