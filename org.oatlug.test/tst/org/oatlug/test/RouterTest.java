// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.oatlug.api.ObjectKey;
import org.oatlug.api.RefusalReason;
import org.oatlug.config.Version;
import org.oatlug.errors.SessionTokenInvalidException;
import org.oatlug.internal.cascade.ConfidentStage;
import org.oatlug.internal.limit.CapacityRule;
import org.oatlug.internal.routing.PredictedCost;
import org.oatlug.internal.routing.RouteRequest;
import org.oatlug.internal.routing.Router;
import org.oatlug.internal.routing.RoutingDecision;
import org.oatlug.internal.session.SessionKeys;
import org.oatlug.internal.session.SessionToken;
import org.oatlug.internal.table.Freshness;
import org.oatlug.internal.table.Tables;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Checks, with random deployments, that a selected version is allowed by the policy and not
 * withdrawn, and that it is the version of the session if the session has one.
 */
class RouterTest {
  private static final String SEED = "20261202";
  private static final List<String> MODELS = List.of("small", "large");
  private static final List<String> STATES =
      List.of("candidate", "current", "retiring", "withdrawn");
  private static final Map<String, String> POLICIES =
      Map.of("all", "true", "none", "false", "small-only", "model == 'small'");

  private final FakeClock clock = new FakeClock();
  private Tables tables = newTables();
  private long revision;

  private void publish(String kind, String name, ObjectNode spec) {
    ObjectKey key = ObjectKey.valueOf(kind, name);
    tables.catalogue().merge(StoredObject.of(key, StoreRevision.ofNumber(++revision), spec));
  }

  private static ObjectNode spec() {
    return Json.STRICT.createObjectNode();
  }

  private void publishVersion(String name, String model, String state) {
    ObjectNode spec = spec().put("model", model).put("state", state);
    publish("version", name, spec.put("costPerThousandTokens", 1));
  }

  private static Tables newTables() {
    return Tables.create(Freshness.withBound(Duration.ofSeconds(10)));
  }

  /** Publishes a random deployment into new tables, as all tries share one test object. */
  private void publishRandomDeployment(Random random) {
    tables = newTables();
    POLICIES.forEach((name, text) -> publish("policy", name, spec().put("program", text)));
    List<String> names = List.copyOf(POLICIES.keySet());
    ObjectNode workspace = spec().put("policy", names.get(random.nextInt(names.size())));
    workspace.put("requestsPerSecond", 10).put("priority", 5).putArray("keyHashes").add("x");
    publish("workspace", "desk", workspace);
    ObjectNode cascade = spec().put("safeStage", 1).put("qualityTarget", 0.9);
    MODELS.forEach(cascade.putArray("stages")::add);
    publish("cascade", "both", cascade);
    for (String model : MODELS) {
      publish("model", model, spec().put("description", model));
      for (int number = 1; number <= 3; number++) {
        publishVersion(model + "-v" + number, model, STATES.get(random.nextInt(4)));
      }
      ObjectNode rollout = spec().put("model", model).put("candidate", model + "-v3");
      rollout.put("weightPercent", 50).put("onHalt", "keep");
      publish("rollout", model, rollout.put("state", random.nextBoolean() ? "running" : "halted"));
    }
    publishUpstream("engine", random.nextInt(8) == 0);
    if (random.nextBoolean()) {
      tables.freshness().recordContact(Duration.ZERO, clock.instant());
    }
  }

  private void publishUpstream(String name, boolean leaving) {
    ObjectNode upstream = spec().put("kind", "engine").put("host", "127.0.0.1").put("port", 1);
    upstream.put("zone", "hall-a").put("slots", 4).put("trustedRefusals", true);
    upstream.put("leaving", leaving).putArray("serves");
    for (String model : MODELS) {
      for (int number = 1; number <= 3; number++) {
        upstream.withArray("serves").add(model + "-v" + number);
      }
    }
    publish("upstream", name, upstream);
  }

  private RoutingDecision decide(String target, Map<String, String> session, Random random) {
    RouteRequest request = new RouteRequest("desk", target, "", session, 10, 1, 0, Set.of());
    Router router =
        Router.create(
            "hall-a",
            ConfidentStage.create(),
            PredictedCost.create(),
            CapacityRule.unbounded(),
            random);
    return router.decide(request, tables, clock.instant());
  }

  private boolean policyAllows(String model) {
    String policy = tables.catalogue().workspace("desk").orElseThrow().policy();
    return policy.equals("all") || policy.equals("small-only") && model.equals("small");
  }

  @Property(seed = SEED)
  void testRouteIsAllowedAndNotWithdrawn(@ForAll Random random) {
    publishRandomDeployment(random);
    String target = random.nextBoolean() ? "both" : MODELS.get(random.nextInt(2));
    RoutingDecision decision = decide(target, Map.of(), random);
    decision
        .route()
        .ifPresent(
            route -> {
              Version version = tables.catalogue().version(route.version()).orElseThrow();
              String state = version.state().name();
              assertTrue(policyAllows(route.model()), route.toString());
              assertTrue(Set.of("CURRENT", "CANDIDATE").contains(state), state);
              boolean candidate = state.equals("CANDIDATE");
              boolean running =
                  tables
                      .catalogue()
                      .rollout(route.model())
                      .orElseThrow()
                      .state()
                      .name()
                      .equals("RUNNING");
              boolean fresh = tables.freshness().isFresh(clock.instant());
              assertTrue(
                  !candidate || running && fresh,
                  "candidate selected outside a running roll-out: " + route);
            });
  }

  @Property(seed = SEED)
  void testSessionKeepsItsVersionOrIsRefused(@ForAll Random random) {
    publishRandomDeployment(random);
    String model = MODELS.get(random.nextInt(2));
    String bound = model + "-v" + (1 + random.nextInt(3));
    RoutingDecision decision = decide(model, Map.of(model, bound), random);
    decision.route().ifPresent(route -> assertEquals(route.version(), bound));
    boolean withdrawn =
        tables.catalogue().version(bound).orElseThrow().state().name().equals("WITHDRAWN");
    if (withdrawn) {
      assertEquals(decision.refusal(), Optional.of(RefusalReason.VERSION_WITHDRAWN));
    }
  }

  /** Checks that a session of a cascade stays on its model, whichever stage would be selected. */
  @Property(seed = SEED)
  void testSessionKeepsItsModelOfCascade(@ForAll Random random) {
    publishRandomDeployment(random);
    String model = MODELS.get(random.nextInt(2));
    RoutingDecision decision = decide("both", Map.of(model, model + "-v1"), random);
    decision.route().ifPresent(route -> assertEquals(route.version(), model + "-v1"));
  }

  /** Checks that a route is no longer allowed once its version is withdrawn before the dispatch. */
  @Example
  void testRouteIsNotAllowedAfterWithdrawal() {
    publishRandomDeployment(new Random(1));
    ObjectNode workspace = spec().put("policy", "all").put("requestsPerSecond", 10);
    workspace.put("priority", 5).putArray("keyHashes").add("x");
    publish("workspace", "desk", workspace);
    publishUpstream("engine", false);
    publishVersion("small-v1", "small", "current");
    Router router =
        Router.create(
            "hall-a",
            ConfidentStage.create(),
            PredictedCost.create(),
            CapacityRule.unbounded(),
            new Random(1));
    RouteRequest request = new RouteRequest("desk", "small", "", Map.of(), 10, 1, 0, Set.of());
    RoutingDecision.Route route =
        router.decide(request, tables, clock.instant()).route().orElseThrow();
    assertTrue(router.stillAllowed(request, route, tables, true));
    publishVersion(route.version(), "small", "withdrawn");
    assertFalse(router.stillAllowed(request, route, tables, true));
  }

  /** Checks that the decision lists each excluded candidate with its reason. */
  @Example
  void testDrainingUpstreamIsExcludedWithReason() {
    publishRandomDeployment(new Random(1));
    publishUpstream("engine", true);
    RoutingDecision decision = decide("small", Map.of("small", "small-v1"), new Random(1));
    assertTrue(decision.route().isEmpty());
    assertFalse(decision.passedOver().isEmpty());
  }

  /** Checks that an upstream is not selected while it asks callers to back off. */
  @Property(seed = SEED)
  void testUpstreamIsNotSelectedWhileItBacksOff(@ForAll Random random) {
    publishRandomDeployment(random);
    UpstreamRow row = tables.upstreams().row("engine");
    row.extendBackOff(clock.instant().plusSeconds(3));
    assertTrue(decide("both", Map.of(), random).route().isEmpty());
    clock.advance(Duration.ofSeconds(2));
    assertTrue(decide("both", Map.of(), random).route().isEmpty());
    assertFalse(
        row.isEjected(clock.instant()), "an upstream that backs off must not count as failed");
  }

  /**
   * Checks that a token verifies with a rotated key, and not with an unknown key or when modified.
   */
  @Example
  void testSessionTokenVerifiesAfterKeyRotation() throws SessionTokenInvalidException {
    SessionKeys old = new SessionKeys("k1", Map.of("k1", "first-key-of-sessions"));
    Map<String, String> rotatedKeys = Map.of("k1", "first-key-of-sessions", "k2", "second-key");
    SessionToken token = new SessionToken("s", "desk", Map.of("small", "small-v1"));
    String signed = token.sign(old);
    SessionKeys rotated = new SessionKeys("k2", rotatedKeys);
    assertEquals(SessionToken.verify(signed, rotated), token);
    assertNotEquals(token.sign(rotated), signed);
    SessionKeys unknown = new SessionKeys("k3", Map.of("k3", "third-key-of-sessions"));
    assertThrows(SessionTokenInvalidException.class, () -> SessionToken.verify(signed, unknown));
    String modified = signed.substring(0, signed.length() - 2) + "xx";
    assertThrows(SessionTokenInvalidException.class, () -> SessionToken.verify(modified, old));
  }
}
