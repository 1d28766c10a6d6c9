// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.oatlug.api.ObjectKey;
import org.oatlug.gateway.CallerLimits;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.GatewaySettings.Switch;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.RoutingConfiguration;
import org.oatlug.gateway.WorkspaceKeys;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.Test;

/** Checks which requests may wait, for how long and for whom. */
public class RequestQueueTest {
  private static final Route CHAT = DeferrableRoutesTest.route("chat", 0, 2000, "engines");
  private static final Route DIGESTS = DeferrableRoutesTest.route("digests", 2, 8000, "engines");

  private final VirtualTime time = new VirtualTime();

  private RequestQueue queue(Switch setting, WorkspaceShareRule shares, Route... routes) {
    GatewayTables tables = GatewayTables.create(time);
    RoutingConfiguration configuration =
        new RoutingConfiguration(
            1, List.of(routes), List.of(), CallerLimits.DEFAULT, Optional.empty());
    tables.mergeAll(
        List.of(
            StoredObject.of(
                ObjectKey.valueOf(GatewayKinds.ROUTING, "main"),
                StoreRevision.ofNumber(1),
                Json.STRICT.valueToTree(configuration))));
    return RequestQueue.create(null, time, setting, tables, shares);
  }

  private AdmittedRequest request(Route route, Duration timeout) {
    RequestHead head =
        new RequestHead(
            "id",
            "shop.example",
            "/",
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            OptionalLong.empty(),
            Optional.empty());
    return new AdmittedRequest(
        head,
        route,
        "engines",
        Optional.of(new WorkspaceKeys("large", List.of(), Optional.empty())),
        HttpMethod.POST,
        "/",
        MultiMap.caseInsensitiveMultiMap(),
        Buffer.buffer(),
        false,
        time.instant(),
        time.instant().plus(timeout),
        Optional.empty());
  }

  private Optional<Long> boundMillis(RequestQueue queue, Route route, Duration timeout) {
    return queue
        .termsOf(request(route, timeout))
        .map(terms -> Duration.between(time.instant(), terms.bound()).toMillis());
  }

  /** Guards against waits of requests that cannot afford them. */
  @Test
  public void testOnlyDeferrableRequestsWaitByDefault() {
    RequestQueue queue = queue(Switch.AUTO, WorkspaceShareRule.NEVER, CHAT, DIGESTS);
    Duration timeout = Duration.ofSeconds(20);
    assertTrue(queue.isUsed());
    assertEquals(boundMillis(queue, DIGESTS, timeout), Optional.of(4000L));
    assertEquals(boundMillis(queue, CHAT, timeout), Optional.empty());
    // The caller has less time than the goal.
    assertEquals(boundMillis(queue, DIGESTS, Duration.ofSeconds(5)), Optional.of(2500L));
    assertFalse(queue(Switch.OFF, WorkspaceShareRule.NEVER, CHAT, DIGESTS).isUsed());
    assertFalse(queue(Switch.AUTO, WorkspaceShareRule.NEVER, CHAT).isUsed());
  }

  @Test
  public void testEveryRequestMayWaitBrieflyIfSwitchedOn() {
    RequestQueue queue = queue(Switch.ON, WorkspaceShareRule.NEVER, CHAT);
    assertEquals(boundMillis(queue, CHAT, Duration.ofSeconds(20)), Optional.of(250L));
  }

  /** Guards against a workspace beyond its share that delays the others of its rank. */
  @Test
  public void testRequestOfWorkspaceBeyondItsShareIsDeferrable() {
    RequestQueue queue =
        queue(Switch.AUTO, (service, workspace) -> workspace.equals("large"), CHAT, DIGESTS);
    RequestQueue.Terms terms = queue.termsOf(request(CHAT, Duration.ofSeconds(20))).orElseThrow();
    assertEquals(Duration.between(time.instant(), terms.bound()).toMillis(), 1000);
    assertEquals(terms.urgentGoalMillis(), OptionalLong.of(2000));
  }
}
