// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.oatlug.api.ObjectKey;
import org.oatlug.api.RefusalReason;
import org.oatlug.config.Kinds;
import org.oatlug.gateway.CallerLimits;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.PromptPart;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.RouteKind;
import org.oatlug.gateway.RoutingConfiguration;
import org.oatlug.gateway.ServiceDefinition;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.gateway.WorkspaceKeys;
import org.oatlug.internal.engine.FirstTokenForecast;
import org.oatlug.internal.engine.PrefillBacklog;
import org.oatlug.internal.engine.PrefillEstimates;
import org.oatlug.internal.engine.PrefillTimeModel;
import org.oatlug.internal.limit.AdvertisedLimits;
import org.oatlug.internal.limit.BrittleShares;
import org.oatlug.internal.limit.RateSenders;
import org.oatlug.internal.limit.SenderSelection;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.routing.ZoneReachability;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Unit tests of the decisions about routes, upstreams, models and retries. */
public class GatewayDecisionTest {
  /** The forecast time to the response head of the largest model. */
  private static final Duration EXPECTED_HEAD_TIME = Duration.ofMillis(100);

  private Instant now = Instant.parse("2026-12-02T12:00:00Z");
  private final InstantSource clock = () -> now;
  private GatewayTables tables;
  private UpstreamPacing pacing;
  private Random random;
  private long revision;

  @BeforeMethod
  void setUp() {
    tables = GatewayTables.create(clock);
    pacing = pacing(GatewaySettings.Switch.OFF);
    random = new Random(1);
    revision = 0;
  }

  private UpstreamPacing pacing(GatewaySettings.Switch state) {
    return UpstreamPacing.create(state, tables, Meters.of(new MetricRegistry()));
  }

  /** Returns a streaming route with a cascade of three models. */
  static Route route(String host, String prefix) {
    return route(host, prefix, 2000);
  }

  private static Route route(String host, String prefix, long goalMillis) {
    return new Route(
        host + prefix,
        host,
        prefix,
        RouteKind.STREAM,
        20_000,
        goalMillis,
        3,
        1,
        false,
        true,
        true,
        1200,
        List.of("small", "middle", "large"),
        List.of(new Route.WeightedTarget("pool", 1)));
  }

  private void put(String kind, String name, Object value) {
    revision++;
    ObjectKey key = ObjectKey.valueOf(kind, name);
    tables.mergeAll(
        List.of(
            StoredObject.of(
                key, StoreRevision.ofNumber(revision), Json.STRICT.valueToTree(value))));
  }

  private void upstream(String name, String zone, String version, boolean leaving) {
    put(
        GatewayKinds.UPSTREAM,
        name,
        UpstreamRecord.of("pool", "127.0.0.1", 1, zone, version, 8, leaving));
  }

  private void configuration(long version, String key) {
    ServiceDefinition.Engine engine =
        new ServiceDefinition.Engine(
            8, 100_000, 7, List.of(new ServiceDefinition.Model("large", 0.2)));
    put(
        GatewayKinds.ROUTING,
        "main",
        new RoutingConfiguration(
            version,
            List.of(route("a", "/x/"), route("a", "/x/y/"), route("b", "/x/")),
            List.of(ServiceDefinition.of("pool", 100, Optional.of(engine))),
            CallerLimits.DEFAULT,
            Optional.of(List.of(new WorkspaceKeys("desk", List.of(key), Optional.of(2))))));
  }

  private static Generation generation(int promptTokens, int outputTokens, long... parts) {
    List<PromptPart> prompt =
        Arrays.stream(parts).mapToObj(part -> new PromptPart(part, 100)).toList();
    return new Generation("*", promptTokens, outputTokens, prompt, OptionalInt.empty());
  }

  private UpstreamSelection.Criteria criteria(
      Optional<VersionRule.VersionPreference> preference, Set<String> excluded) {
    return new UpstreamSelection.Criteria(
        "pool", preference, Optional.empty(), Optional.empty(), 0, excluded, false, 2000);
  }

  private UpstreamRateLimits noRateLimits() {
    return noRateLimits(tables, clock);
  }

  /** Returns rate limits of an instance without peers, to which no upstream advertises a limit. */
  static UpstreamRateLimits noRateLimits(GatewayTables tables, InstantSource clock) {
    return rateLimits(tables, clock, AdvertisedLimits.create(clock), RateSenders.alone());
  }

  private static UpstreamRateLimits rateLimits(
      GatewayTables tables, InstantSource clock, AdvertisedLimits limits, RateSenders senders) {
    GatewaySettings.Bounds bounds =
        new GatewaySettings.Bounds(
            Duration.ofSeconds(8),
            0.9,
            52,
            0.15,
            Duration.ofSeconds(5),
            1.5,
            5,
            Duration.ofSeconds(2),
            Duration.ofSeconds(2));
    BrittleShares shares =
        BrittleShares.create(AdvertisedLimits.ofRejections(clock), senders.ofBrittle());
    return UpstreamRateLimits.create(tables, bounds, limits, shares, senders);
  }

  /** Guards against configurations of earlier versions, without weights, being rejected. */
  @Test
  public void testWeightOfWorkspaceIsOptionalAndPositive() throws JsonProcessingException {
    String keys = "{\"name\": \"desk\", \"keys\": [\"key\"]";
    WorkspaceKeys plain = Json.STRICT.readValue(keys + "}", WorkspaceKeys.class);
    WorkspaceKeys heavy = Json.STRICT.readValue(keys + ", \"weight\": 2.5}", WorkspaceKeys.class);
    assertEquals(KeyIndex.of(List.of(plain)).weightOf("desk"), 1.0);
    assertEquals(KeyIndex.of(List.of(heavy)).weightOf("desk"), 2.5);
    assertThrows(
        JsonProcessingException.class,
        () -> Json.STRICT.readValue(keys + ", \"weight\": 0}", WorkspaceKeys.class));
  }

  /**
   * One upstream is limited, and the other is full but has a free connection soon: callers must not
   * be told the long wait for the limited one.
   */
  @Test
  public void testFullUpstreamsAreNotReportedAsLimited() {
    configuration(1, "key");
    upstream("i-1", "here", "v1", false);
    upstream("i-2", "here", "v1", false);
    AdvertisedLimits limits = AdvertisedLimits.create(clock);
    limits.advertised(tables.row("i-1").process(), 1);
    RateSenders notAmongSenders =
        new RateSenders(
            SenderSelection.ALONE, (upstream, zone, maximum, rotation) -> 0, SenderSelection.ALONE);
    UpstreamEligibility eligibility =
        UpstreamEligibility.of(tables, rateLimits(tables, clock, limits, notAmongSenders));
    for (int connection = 0; connection < 100; connection++) {
      tables.row("i-2").reserve();
    }
    assertEquals(eligibility.refusalReason("pool", now), RefusalReason.NO_UPSTREAM);
    limits.advertised(tables.row("i-2").process(), 1);
    for (int connection = 0; connection < 100; connection++) {
      tables.row("i-2").release();
    }
    assertEquals(eligibility.refusalReason("pool", now), RefusalReason.UPSTREAMS_LIMITED);
  }

  /** Returns a selection without limits, measurements and paces. */
  static UpstreamSelection selectionOf(GatewayTables tables, InstantSource clock) {
    return UpstreamSelection.create(
        "here",
        tables,
        PrefillEstimates.create(),
        PrefillBacklog.create(),
        ZoneReachability.create(),
        rateLimits(tables, clock, AdvertisedLimits.create(clock), RateSenders.alone()),
        UpstreamPacing.create(GatewaySettings.Switch.OFF, tables, Meters.of(new MetricRegistry())),
        unused -> false,
        new Random(1));
  }

  private UpstreamSelection selection() {
    return UpstreamSelection.create(
        "here",
        tables,
        PrefillEstimates.create(),
        PrefillBacklog.create(),
        ZoneReachability.create(),
        noRateLimits(),
        pacing,
        unused -> false,
        new Random(1));
  }

  private Optional<String> choose(
      Optional<VersionRule.VersionPreference> preference, Set<String> excluded) {
    UpstreamSelection selection = selection();
    return selection
        .choose(criteria(preference, excluded), now)
        .map(UpstreamSelection.CostedUpstream::name);
  }

  @Test
  public void testLongestPrefixOfTheHostIsSelected() {
    configuration(1, "k");
    assertEquals(tables.routes().find("A", "/x/y/z").orElseThrow().name(), "a/x/y/");
    assertEquals(tables.routes().find("a", "/x/z").orElseThrow().name(), "a/x/");
    assertEquals(tables.routes().find("b", "/x/y/z").orElseThrow().name(), "b/x/");
    assertTrue(tables.routes().find("a", "/xy").isEmpty());
    assertTrue(tables.routes().find("c", "/x/").isEmpty());
  }

  @Test
  public void testUpstreamWithoutFreeConnectionIsNotSelected() {
    configuration(1, "k");
    upstream("i-1", "here", "v1", false);
    tables.upstreamTable().report("i-1", 40, 60, false);
    assertEquals(choose(Optional.empty(), Set.of()), Optional.empty());
    upstream("i-2", "there", "v1", false);
    assertEquals(choose(Optional.empty(), Set.of()), Optional.of("i-2"));
    for (int open = 0; open < 100; open++) {
      tables.upstreamTable().row("i-2").reserve();
    }
    assertEquals(choose(Optional.empty(), Set.of()), Optional.empty());
  }

  @Test
  public void testBodyMemoryStaysWithinTheBudget() {
    BodyMemoryBudget budget = BodyMemoryBudget.within(100);
    assertTrue(budget.tryReserve(60));
    assertFalse(budget.tryReserve(41));
    assertEquals(budget.reservedBytes(), 60);
    budget.releaseBytes(60);
    assertTrue(budget.tryReserve(100));
  }

  @Test
  public void testStaleConfigurationDoesNotRestoreRevokedKey() {
    configuration(1, "old");
    StoredObject first = tables.join().get(ObjectKey.valueOf(GatewayKinds.ROUTING, "main")).get();
    configuration(2, "new");
    tables.mergeAll(List.of(first));
    assertTrue(tables.keys().find("old").isEmpty());
    assertTrue(tables.keys().find("new").isPresent());
  }

  @Test
  public void testTombstoneOfTheSameRevisionWins() {
    upstream("i-1", "here", "v1", false);
    ObjectKey key = ObjectKey.valueOf(GatewayKinds.UPSTREAM, "i-1");
    tables.mergeAll(
        List.of(StoredObject.of(key, StoreRevision.ofNumber(revision), Kinds.tombstone())));
    assertTrue(tables.upstream("i-1").isEmpty());
    assertEquals(tables.upstreamsOf("pool"), List.of());
    upstream("i-1", "here", "v1", false);
    assertEquals(tables.upstreamsOf("pool"), List.of("i-1"));
  }

  @Test
  public void testInvalidEntryRemovesOnlyItsUpstream() {
    upstream("i-1", "here", "v1", false);
    upstream("i-2", "here", "v1", false);
    put(GatewayKinds.UPSTREAM, "i-1", Kinds.unusable("address is missing"));
    assertEquals(tables.upstreamsOf("pool"), List.of("i-2"));
    assertTrue(tables.upstream("i-1").isEmpty());
    assertTrue(
        tables.isLeaving("i-1"), "an upstream without a valid entry must not receive requests");
    assertEquals(choose(Optional.empty(), Set.of()), Optional.of("i-2"));
    upstream("i-1", "here", "v2", false);
    assertEquals(tables.upstream("i-1").orElseThrow().version(), "v2");
  }

  @Test
  public void testLocalZoneIsPreferredAndLeavingUpstreamsAreExcluded() {
    upstream("i-1", "there", "v1", false);
    assertEquals(choose(Optional.empty(), Set.of()), Optional.of("i-1"));
    upstream("i-2", "here", "v1", false);
    assertEquals(choose(Optional.empty(), Set.of()), Optional.of("i-2"));
    assertEquals(choose(Optional.empty(), Set.of("i-2")), Optional.of("i-1"));
    upstream("i-2", "here", "v1", true);
    assertEquals(choose(Optional.empty(), Set.of()), Optional.of("i-1"));
    assertEquals(choose(Optional.empty(), Set.of("i-1")), Optional.empty());
  }

  @Test
  public void testOtherZoneIsSelectedWhenLocalUpstreamIsLoaded() {
    upstream("i-1", "here", "v1", false);
    upstream("i-2", "there", "v1", false);
    tables.upstreamTable().report("i-1", 8, 30, false);
    assertEquals(choose(Optional.empty(), Set.of()), Optional.of("i-2"));
  }

  @Test
  public void testUpstreamWithManyFailuresIsSelectedLess() {
    upstream("i-1", "here", "v1", false);
    upstream("i-2", "here", "v1", false);
    for (int response = 0; response < 10; response++) {
      tables.upstreamTable().row("i-1").recordFailure(now);
      tables.upstreamTable().row("i-1").recordSuccess(now);
      tables.upstreamTable().row("i-2").recordSuccess(now);
    }
    tables.upstreamTable().report("i-2", 6, 0, false);
    assertEquals(choose(Optional.empty(), Set.of()), Optional.of("i-2"));
    now = now.plusSeconds(30);
    assertEquals(
        choose(Optional.empty(), Set.of()),
        Optional.of("i-1"),
        "the upstream is selected again after its failures have decayed");
  }

  @Test
  public void testRequiredVersionIsEnforcedAndPreferredVersionIsNot() {
    upstream("i-1", "here", "v1", false);
    VersionRule.VersionPreference preferred =
        new VersionRule.VersionPreference(
            "v2", true, VersionRule.Firmness.PREFERRED, Optional.empty());
    assertEquals(choose(Optional.of(preferred), Set.of()), Optional.of("i-1"));
    VersionRule.VersionPreference notV1 =
        new VersionRule.VersionPreference(
            "v1", false, VersionRule.Firmness.REQUIRED, Optional.empty());
    assertEquals(choose(Optional.of(notV1), Set.of()), Optional.empty());
  }

  /** A session is refused rather than moved to another version while its version has upstreams. */
  @Test
  public void testKeptVersionIsReplacedOnceItHasNoUpstreams() {
    upstream("i-1", "here", "v1", false);
    upstream("i-2", "here", "v2", false);
    VersionRule.VersionPreference kept =
        new VersionRule.VersionPreference("v2", true, VersionRule.Firmness.KEPT, Optional.empty());
    assertEquals(choose(Optional.of(kept), Set.of()), Optional.of("i-2"));
    assertEquals(choose(Optional.of(kept), Set.of("i-2")), Optional.empty());
    upstream("i-2", "here", "v2", true);
    assertEquals(choose(Optional.of(kept), Set.of()), Optional.of("i-1"));
  }

  @Test
  public void testPromptGoesToTheUpstreamThatCachesIt() {
    upstream("i-1", "here", "v1", false);
    upstream("i-2", "here", "v1", false);
    Generation generation = generation(50_000, 10, 7, 8);
    UpstreamSelection.recordPrompt(tables.upstreamTable().row("i-2"), "m", generation(1, 1, 7));
    UpstreamSelection selection = selection();
    UpstreamSelection.Criteria criteria =
        new UpstreamSelection.Criteria(
            "pool",
            Optional.empty(),
            Optional.of("m"),
            Optional.of(
                new Generation(
                    "*", 100, 10, List.of(new PromptPart(7, 90_000)), OptionalInt.empty())),
            100,
            Set.of(),
            false,
            2000);
    assertEquals(selection.choose(criteria, now).orElseThrow().name(), "i-2");
    assertEquals(generation.prompt().size(), 2);
  }

  /** Returns the upstream that an instance in the zone selects for a prompt at a prefill speed. */
  private String selectedInZone(
      String zone, double millisPerToken, PrefillBacklog prefillBacklog, ZoneReachability zones) {
    PrefillEstimates prefillEstimates = PrefillEstimates.create();
    prefillEstimates.applyReported("m", new PrefillTimeModel(20, millisPerToken));
    UpstreamSelection selection =
        UpstreamSelection.create(
            zone,
            tables,
            prefillEstimates,
            prefillBacklog,
            zones,
            noRateLimits(),
            pacing,
            unused -> false,
            random);
    List<PromptPart> parts = List.of(new PromptPart(7, 13_000), new PromptPart(8, 4000));
    Generation generation = new Generation("*", 17_000, 300, parts, OptionalInt.empty());
    UpstreamSelection.Criteria criteria =
        new UpstreamSelection.Criteria(
            "pool",
            Optional.empty(),
            Optional.of("m"),
            Optional.of(generation),
            17_000,
            Set.of(),
            false,
            2000);
    return selection.choose(criteria, now).orElseThrow().name();
  }

  /**
   * Half of the upstreams refuse all requests without asking to back off. Guards against refusals
   * that are not recorded, so that these upstreams are selected as often as the others.
   */
  @Test
  public void testRefusingUpstreamsAreSelectedLessButNotEjected() {
    upstreamsOfThreeZones();
    List<String> all = List.copyOf(tables.upstreamsOf("pool"));
    Set<String> refusing = Set.copyOf(all.subList(0, all.size() / 2));
    UpstreamSelection selection = selection();
    int refusals = 0;
    for (int round = 0; round < 400; round++) {
      var chosen = selection.choose(criteria(Optional.empty(), Set.of()), now).orElseThrow();
      if (refusing.contains(chosen.name())) {
        refusals++;
        chosen.row().recordRefusal(now);
        assertFalse(chosen.row().isEjected(now));
      } else {
        chosen.row().recordSuccess(now);
      }
    }
    assertTrue(refusals < 40, refusals + " of 400 requests refused");
  }

  private void upstreamsOfThreeZones() {
    for (String zone : List.of("a", "b", "c")) {
      for (int number = 0; number < 3; number++) {
        upstream("i-" + zone + number, zone, "v1", false);
      }
    }
  }

  /**
   * Candidates are drawn at random while paces are in use. Guards against a shared prompt prefix
   * that is read at many upstreams because its home is seldom drawn.
   */
  @Test
  public void testHomeOfSharedPrefixIsUsedWithPaces() {
    upstreamsOfThreeZones();
    pacing = pacing(GatewaySettings.Switch.ON);
    Set<String> selected = new HashSet<>();
    for (int request = 0; request < 50; request++) {
      String zone = List.of("a", "b", "c").get(request % 3);
      selected.add(selectedInZone(zone, 0.5, PrefillBacklog.create(), ZoneReachability.create()));
    }
    assertEquals(selected.size(), 1, "selected " + selected);
  }

  @Test
  public void testSharedPrefixHasOneHomeForAllZonesIfPrefillIsSlow() {
    upstreamsOfThreeZones();
    Set<String> homesAtSlowPrefill = new HashSet<>();
    Set<String> homesAtFastPrefill = new HashSet<>();
    for (String zone : List.of("a", "b", "c")) {
      homesAtSlowPrefill.add(
          selectedInZone(zone, 0.2, PrefillBacklog.create(), ZoneReachability.create()));
      String home = selectedInZone(zone, 0.008, PrefillBacklog.create(), ZoneReachability.create());
      assertTrue(home.startsWith("i-" + zone), home + " for " + zone);
      homesAtFastPrefill.add(home);
    }
    assertEquals(homesAtSlowPrefill.size(), 1, "homes " + homesAtSlowPrefill);
    assertEquals(homesAtFastPrefill.size(), 3, "one home per zone at fast prefill");
  }

  @Test
  public void testBusyOrUnreachableHomeIsNotSelected() {
    upstreamsOfThreeZones();
    String home = selectedInZone("a", 0.2, PrefillBacklog.create(), ZoneReachability.create());
    PrefillBacklog prefillBacklog = PrefillBacklog.create();
    prefillBacklog.applyReported(Map.of(home, 20_000), now);
    assertNotEquals(selectedInZone("a", 0.2, prefillBacklog, ZoneReachability.create()), home);
    String homeZone = tables.upstream(home).orElseThrow().zone();
    String otherZone = homeZone.equals("a") ? "b" : "a";
    ZoneReachability zones = ZoneReachability.create();
    zones.recordConnectFailure(homeZone, "i-x", now);
    zones.recordConnectFailure(homeZone, "i-y", now);
    String selected = selectedInZone(otherZone, 0.2, PrefillBacklog.create(), zones);
    assertNotEquals(tables.upstream(selected).orElseThrow().zone(), homeZone);
  }

  @Test
  public void testUncertainResponseIsAcceptedIfEscalationDelaysOthers() {
    configuration(1, "k");
    ResponseTimes times = ResponseTimes.create(clock);
    assertEquals(escalation(times, 40, 50), OptionalInt.of(2));
    assertEquals(escalation(times, 40, 900), OptionalInt.empty());
    assertEquals(
        escalation(times, 5, 500), OptionalInt.of(2), "a response of low confidence is replaced");
  }

  @Test
  public void testLowConfidenceResponseIsReplacedOnRouteWithoutGoal() {
    configuration(1, "k");
    Route withoutGoal = route("a", "/x/", 0);
    assertEquals(escalation(withoutGoal, ResponseTimes.create(clock), 0, 300), OptionalInt.of(2));
  }

  private OptionalInt escalation(ResponseTimes times, int confidence, int prefillMillis) {
    return escalation(route("a", "/x/"), times, confidence, prefillMillis);
  }

  private OptionalInt escalation(
      Route route, ResponseTimes times, int confidence, int prefillMillis) {
    return ExpectedValueRule.create(tables, times, ExpectedValueRule.DelayWeight.FULL)
        .replacementStage(
            new StageRule.LowConfidenceResponse(
                route,
                "pool",
                generation(1000, 300),
                0,
                confidence,
                Duration.ofMillis(100),
                model -> new FirstTokenForecast(0, prefillMillis, 1000, true)));
  }

  private OptionalInt escalation(ResponseTimes times, int stage, int confidence, long elapsed) {
    Route route = route("a", "/x/");
    ExpectedValueRule rule =
        ExpectedValueRule.create(tables, times, ExpectedValueRule.DelayWeight.FULL);
    return rule.replacementStage(
        new StageRule.LowConfidenceResponse(
            route,
            "pool",
            generation(1000, 300),
            stage,
            confidence,
            Duration.ofMillis(elapsed),
            model -> new FirstTokenForecast(0, EXPECTED_HEAD_TIME.toMillis(), 1000, true)));
  }

  @Test
  public void testLowConfidenceResponseIsReplacedOnlyIfEscalationHasHigherValue() {
    configuration(1, "k");
    ResponseTimes times = ResponseTimes.create(clock);
    assertEquals(escalation(times, 0, 10, 100), OptionalInt.of(2));
    assertEquals(escalation(times, 0, 90, 100), OptionalInt.empty());
    assertEquals(escalation(times, 2, 10, 100), OptionalInt.empty());
    ResponseTimes.Key slowKey =
        new ResponseTimes.Key(route("a", "/x/"), "large", EXPECTED_HEAD_TIME);
    for (int response = 0; response < 200; response++) {
      times.recordHeadTime(slowKey, Duration.ofMillis(5000));
    }
    assertEquals(
        escalation(times, 0, 45, 100), OptionalInt.empty(), "a late response has a lower value");
  }

  @Test
  public void testHeadTimeoutGrowsWithPromptAndSlowResponses() {
    ResponseTimes times = ResponseTimes.create(clock);
    Route route = route("a", "/x/");
    ResponseTimes.Key smallPrompt = new ResponseTimes.Key(route, "large", Duration.ofMillis(200));
    ResponseTimes.Key largePrompt = new ResponseTimes.Key(route, "large", Duration.ofSeconds(30));
    assertEquals(times.headTimeout(smallPrompt), Duration.ofMillis(2500));
    for (int response = 0; response < 100; response++) {
      times.recordHeadTime(smallPrompt, Duration.ofMillis(300));
    }
    assertTrue(times.headTimeout(largePrompt).compareTo(Duration.ofSeconds(25)) > 0);
    assertTrue(times.probabilityOfHeadWithin(smallPrompt, Duration.ofMillis(1500)) > 0.9);
    assertTrue(times.probabilityOfHeadWithin(largePrompt, Duration.ofMillis(1500)) < 0.1);
  }

  @Test
  public void testRetriesOfAllInstancesStayWithinTheAgreedShare() {
    GatewaySettings.Bounds bounds =
        new GatewaySettings.Bounds(
            Duration.ofSeconds(8),
            0.9,
            52,
            0.15,
            Duration.ofSeconds(5),
            1.5,
            5,
            Duration.ofSeconds(2),
            Duration.ofSeconds(2));
    int retries = 0;
    int instances = 7;
    int requestsPerInstance = 100;
    for (int instance = 0; instance < instances; instance++) {
      RetryBudgets budgets = RetryBudgets.within(bounds, () -> 7);
      for (int request = 0; request < requestsPerInstance; request++) {
        budgets.of("pool").recordTry();
        for (int attempt = 0; attempt < 3; attempt++) {
          retries += budgets.of("pool").tryAcquireRetry() ? 1 : 0;
        }
      }
    }
    assertTrue(retries <= 0.9 * instances * requestsPerInstance + 52, "retries " + retries);
    assertTrue(retries > 0.6 * instances * requestsPerInstance, "retries " + retries);
  }
}
