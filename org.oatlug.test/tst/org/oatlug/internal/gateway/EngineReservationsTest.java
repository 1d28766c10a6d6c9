// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Kinds;
import org.oatlug.gateway.CallerLimits;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.GatewaySettings.LoadManagement;
import org.oatlug.gateway.GatewaySettings.Switch;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.RoutingConfiguration;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.engine.PrefillWork;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a reservation that instances see differently, that applies to deployments whose
 * configuration does not call for it, or that leaves requests without engines.
 */
public class EngineReservationsTest {
  private static final Route CHAT = DeferrableRoutesTest.route("chat", 0, 2000, "pool");
  private static final Route DIGESTS = DeferrableRoutesTest.route("digests", 2, 8000, "pool");

  private Instant now = Instant.ofEpochMilli(1_000_000);
  private GatewayTables tables;
  private PrefillWork work;
  private long revision;

  @BeforeMethod
  void setUp() {
    tables = GatewayTables.create(() -> now);
    work = PrefillWork.create(() -> 1);
    revision = 0;
    configure(List.of(CHAT, DIGESTS));
    for (int engine = 0; engine < 12; engine++) {
      String zone = "zone-" + engine % 3;
      put(
          GatewayKinds.UPSTREAM,
          "i-" + engine,
          UpstreamRecord.of("pool", "127.0.0.1", 1, zone, "v1", 8, false));
    }
  }

  private void configure(List<Route> routes) {
    put(
        GatewayKinds.ROUTING,
        "main",
        new RoutingConfiguration(
            revision + 1, routes, List.of(), CallerLimits.DEFAULT, Optional.empty()));
  }

  private void put(String kind, String name, Object value) {
    revision++;
    tables.mergeAll(
        List.of(
            StoredObject.of(
                ObjectKey.valueOf(kind, name),
                StoreRevision.ofNumber(revision),
                Json.STRICT.valueToTree(value))));
  }

  private EngineReservations reservations(Switch mode) {
    ServiceWorkMeter meter = ServiceWorkMeter.create(LoadManagement.OFF, tables, work, () -> now);
    return EngineReservations.create(
        mode, tables, meter, () -> now, Meters.of(new MetricRegistry()));
  }

  /** Long prompts of four busy engines arrive. */
  private void reportDigests() {
    work.record("pool/2", 200, now);
    work.record("pool/0", 10, now);
    work.applyReported(Map.of("pool/2", 4000, "pool/0", 600), now);
  }

  private Map<String, Double> additionalMillis(EngineReservations reservations, Route route) {
    PlacementPreference preference = reservations.preferenceOf("pool", route);
    Map<String, Double> byName = new HashMap<>();
    tables.upstreamsOf("pool").forEach(name -> byName.put(name, preference.additionalMillis(name)));
    return byName;
  }

  private static Set<String> preferred(Map<String, Double> millis) {
    return millis.entrySet().stream()
        .filter(entry -> entry.getValue() == 0)
        .map(Map.Entry::getKey)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  @Test
  public void testDeferrableRequestsHaveEnginesOfTheirOwnInEachZone() {
    reportDigests();
    Map<String, Double> digests = additionalMillis(reservations(Switch.AUTO), DIGESTS);
    Map<String, Double> chat = additionalMillis(reservations(Switch.AUTO), CHAT);
    Set<String> reserved = preferred(digests);
    Set<String> others = preferred(chat);
    assertEquals(reserved.size() + others.size(), 12, "each engine has one class");
    assertTrue(reserved.stream().noneMatch(others::contains), "engines of both classes");
    for (int zone = 0; zone < 3; zone++) {
      String name = "zone-" + zone;
      assertTrue(
          reserved.stream().anyMatch(engine -> tables.upstream(engine).get().zone().equals(name)),
          "zone without reserved engines");
    }
    // A request that gains a quarter of its goal may cross, so that no engine is out of reach.
    assertEquals(digests.get(others.iterator().next()), 2000.0);
    assertEquals(chat.get(reserved.iterator().next()), 500.0);
  }

  @Test
  public void testInstancesAgreeOnTheEngines() {
    reportDigests();
    assertEquals(
        additionalMillis(reservations(Switch.AUTO), DIGESTS),
        additionalMillis(reservations(Switch.AUTO), DIGESTS));
  }

  @Test
  public void testLossOfReservedEnginesReservesOthersOrNone() {
    reportDigests();
    EngineReservations reservations = reservations(Switch.AUTO);
    Set<String> before = preferred(additionalMillis(reservations, DIGESTS));
    before.stream().limit(before.size() - 2).forEach(this::remove);
    now = now.plusSeconds(1);
    reportDigests();
    Set<String> after = preferred(additionalMillis(reservations, DIGESTS));
    assertTrue(after.size() > 2, "no other engine is reserved: " + after);
    List.copyOf(tables.upstreamsOf("pool")).stream().skip(1).forEach(this::remove);
    now = now.plusSeconds(1);
    reportDigests();
    for (Route route : List.of(CHAT, DIGESTS)) {
      assertEquals(List.copyOf(additionalMillis(reservations, route).values()), List.of(0.0));
    }
  }

  /** Crashed engines stay registered for seconds; requests must not wait for them. */
  @Test
  public void testRequestsPreferOtherEnginesWhileReservedOnesAreEjected() {
    reportDigests();
    EngineReservations reservations = reservations(Switch.AUTO);
    Set<String> reserved = preferred(additionalMillis(reservations, DIGESTS));
    reserved.forEach(name -> tables.row(name).recordCrash(now));
    UpstreamSelection.Criteria criteria =
        new UpstreamSelection.Criteria(
            "pool",
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            0,
            Set.of(),
            false,
            8000,
            reservations.preferenceOf("pool", DIGESTS));
    UpstreamSelection selection = GatewayDecisionTest.selectionOf(tables, () -> now);
    UpstreamSelection.CostedUpstream chosen =
        selection.choose(criteria, now, UpstreamSelection.CostedUpstream::preferred).orElseThrow();
    assertTrue(!reserved.contains(chosen.name()), "an ejected engine was chosen");
  }

  private void remove(String upstream) {
    put(GatewayKinds.UPSTREAM, upstream, Kinds.tombstone());
  }

  @Test
  public void testNothingIsReservedUnlessSwitchAndConfigurationCallForIt() {
    reportDigests();
    assertSame(reservations(Switch.OFF).preferenceOf("pool", DIGESTS), PlacementPreference.NONE);
    configure(List.of(CHAT, DeferrableRoutesTest.route("digests", 2, 2000, "pool")));
    assertSame(reservations(Switch.AUTO).preferenceOf("pool", DIGESTS), PlacementPreference.NONE);
  }

  /** An instance that sends no deferrable requests must avoid the engines that take them. */
  @Test
  public void testInstanceWithoutDeferrableRequestsFollowsTheReports() {
    work.applyReported(Map.of("pool/2", 4000, "pool/0", 600), now);
    assertTrue(preferred(additionalMillis(reservations(Switch.AUTO), CHAT)).size() < 12);
  }

  /** The engines of a candidate version hardly get requests, so they are no capacity. */
  @Test
  public void testEnginesOfCandidateVersionAreNoCapacity() {
    reportDigests();
    Set<String> before = preferred(additionalMillis(reservations(Switch.AUTO), DIGESTS));
    for (int engine = 20; engine < 32; engine++) {
      String zone = "zone-" + engine % 3;
      put(
          GatewayKinds.UPSTREAM,
          "i-" + engine,
          UpstreamRecord.of("pool", "127.0.0.1", 1, zone, "v2", 8, false));
    }
    Set<String> both = preferred(additionalMillis(reservations(Switch.AUTO), DIGESTS));
    // The share is the same; each of the three zones rounds to whole engines.
    assertEquals(both.size(), 2.0 * before.size(), 3.0);
  }

  @Test
  public void testReservationEndsWhenReportsStop() {
    reportDigests();
    EngineReservations reservations = reservations(Switch.AUTO);
    assertTrue(preferred(additionalMillis(reservations, DIGESTS)).size() < 12);
    now = now.plusSeconds(10);
    assertSame(reservations.preferenceOf("pool", DIGESTS), PlacementPreference.NONE);
  }
}
