// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

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
import org.oatlug.internal.engine.EngineSpeeds;
import org.oatlug.internal.engine.HeadForecast;
import org.oatlug.internal.engine.OpenReading;
import org.oatlug.internal.engine.ReadingLine;
import org.oatlug.internal.limit.AdvertisedLimits;
import org.oatlug.internal.limit.RateSenders;
import org.oatlug.internal.limit.SenderSelection;
import org.oatlug.internal.routing.ZoneReach;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Shows the decisions about routes, upstreams, models and retries by themselves. */
public class GatewayDecisionTest {
  /** How long the largest model is expected to take to begin its answer. */
  private static final Duration EXPECTED = Duration.ofMillis(100);

  private Instant now = Instant.parse("2026-12-02T12:00:00Z");
  private final InstantSource clock = () -> now;
  private GatewayTables tables;
  private long revision;

  @BeforeMethod
  void begin() {
    tables = GatewayTables.create(clock);
    revision = 0;
  }

  /** Returns a route of streams that a cascade of three models answers. */
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

  private static Generation generation(int read, int made, long... parts) {
    List<PromptPart> prompt =
        Arrays.stream(parts).mapToObj(part -> new PromptPart(part, 100)).toList();
    return new Generation("*", read, made, prompt, OptionalInt.empty());
  }

  private UpstreamSelection.Wanted wanted(Optional<VersionRule.Wish> wish, Set<String> excluded) {
    return new UpstreamSelection.Wanted(
        "pool", wish, Optional.empty(), Optional.empty(), 0, excluded, false);
  }

  private RateGate openGate() {
    return gate(AdvertisedLimits.create(clock), RateSenders.alone());
  }

  private RateGate gate(AdvertisedLimits limits, RateSenders senders) {
    GatewaySettings.Bounds bounds =
        new GatewaySettings.Bounds(
            Duration.ofSeconds(8), 0.9, 52, 0.15, Duration.ofSeconds(5), 1.5, 5);
    return RateGate.create(tables, bounds, limits, senders);
  }

  /** Callers of a service with free places soon were told the long wait of its limited upstream. */
  @Test
  public void testFullUpstreamsDoNotLookLimited() {
    configuration(1, "key");
    upstream("i-1", "here", "v1", false);
    upstream("i-2", "here", "v1", false);
    AdvertisedLimits limits = AdvertisedLimits.create(clock);
    limits.advertised(tables.row("i-1").process(), 1);
    RateSenders others = new RateSenders(SenderSelection.ALONE, (upstream, zone, most, turn) -> 0);
    UpstreamStanding standing = UpstreamStanding.of(tables, gate(limits, others));
    for (int connection = 0; connection < 100; connection++) {
      tables.row("i-2").reserve();
    }
    assertEquals(standing.reasonOfNone("pool", now), RefusalReason.NO_UPSTREAM);
    limits.advertised(tables.row("i-2").process(), 1);
    for (int connection = 0; connection < 100; connection++) {
      tables.row("i-2").release();
    }
    assertEquals(standing.reasonOfNone("pool", now), RefusalReason.UPSTREAMS_LIMITED);
  }

  private UpstreamSelection selection() {
    return UpstreamSelection.create(
        "here",
        tables,
        EngineSpeeds.create(),
        OpenReading.create(),
        ZoneReach.create(),
        openGate(),
        unused -> false,
        new Random(1));
  }

  private Optional<String> choose(Optional<VersionRule.Wish> wish, Set<String> excluded) {
    UpstreamSelection selection = selection();
    return selection.choose(wanted(wish, excluded), now).map(UpstreamSelection.Chosen::name);
  }

  @Test
  public void testLongestPrefixOfTheHostCounts() {
    configuration(1, "k");
    assertEquals(tables.routes().find("A", "/x/y/z").orElseThrow().name(), "a/x/y/");
    assertEquals(tables.routes().find("a", "/x/z").orElseThrow().name(), "a/x/");
    assertEquals(tables.routes().find("b", "/x/y/z").orElseThrow().name(), "b/x/");
    assertTrue(tables.routes().find("a", "/xy").isEmpty());
    assertTrue(tables.routes().find("c", "/x/").isEmpty());
  }

  @Test
  public void testUpstreamWithoutConnectionLeftIsNotChosen() {
    configuration(1, "k");
    upstream("i-1", "here", "v1", false);
    tables.loads().report("i-1", 40, 60, false);
    assertEquals(choose(Optional.empty(), Set.of()), Optional.empty());
    upstream("i-2", "there", "v1", false);
    assertEquals(choose(Optional.empty(), Set.of()), Optional.of("i-2"));
    for (int open = 0; open < 100; open++) {
      tables.loads().row("i-2").reserve();
    }
    assertEquals(choose(Optional.empty(), Set.of()), Optional.empty());
  }

  @Test
  public void testBodiesAreHeldWithinTheirBound() {
    HeldBytes held = HeldBytes.within(100);
    assertTrue(held.take(60));
    assertFalse(held.take(41));
    assertEquals(held.held(), 60);
    held.give(60);
    assertTrue(held.take(100));
  }

  @Test
  public void testLateConfigurationBringsNoRevokedKeyBack() {
    configuration(1, "old");
    StoredObject first = tables.join().get(ObjectKey.valueOf(GatewayKinds.ROUTING, "main")).get();
    configuration(2, "new");
    tables.mergeAll(List.of(first));
    assertTrue(tables.keys().find("old").isEmpty());
    assertTrue(tables.keys().find("new").isPresent());
  }

  @Test
  public void testTombstoneOfTheSameRevisionCounts() {
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
  public void testEntryThatCannotBeReadNamesNoUpstreamAndOthersHold() {
    upstream("i-1", "here", "v1", false);
    upstream("i-2", "here", "v1", false);
    put(GatewayKinds.UPSTREAM, "i-1", Kinds.unusable("address is missing"));
    assertEquals(tables.upstreamsOf("pool"), List.of("i-2"));
    assertTrue(tables.upstream("i-1").isEmpty());
    assertTrue(tables.isLeaving("i-1"), "nothing more is sent there");
    assertEquals(choose(Optional.empty(), Set.of()), Optional.of("i-2"));
    upstream("i-1", "here", "v2", false);
    assertEquals(tables.upstream("i-1").orElseThrow().version(), "v2");
  }

  @Test
  public void testUpstreamOfOwnZoneGoesFirstAndLeavingOnesAreOut() {
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
  public void testLoadedUpstreamOfOwnZoneGivesWay() {
    upstream("i-1", "here", "v1", false);
    upstream("i-2", "there", "v1", false);
    tables.loads().report("i-1", 8, 30, false);
    assertEquals(choose(Optional.empty(), Set.of()), Optional.of("i-2"));
  }

  @Test
  public void testUpstreamThatFailsOftenIsAskedLess() {
    upstream("i-1", "here", "v1", false);
    upstream("i-2", "here", "v1", false);
    for (int answer = 0; answer < 10; answer++) {
      tables.loads().row("i-1").failed(now);
      tables.loads().row("i-1").succeeded(now);
      tables.loads().row("i-2").succeeded(now);
    }
    tables.loads().report("i-2", 6, 0, false);
    assertEquals(choose(Optional.empty(), Set.of()), Optional.of("i-2"));
    now = now.plusSeconds(30);
    assertEquals(choose(Optional.empty(), Set.of()), Optional.of("i-1"), "it is tried again");
  }

  @Test
  public void testStrictWishIsKeptAndOtherWishesGiveWay() {
    upstream("i-1", "here", "v1", false);
    VersionRule.Wish soft =
        new VersionRule.Wish("v2", true, VersionRule.Firmness.PREFERRED, Optional.empty());
    assertEquals(choose(Optional.of(soft), Set.of()), Optional.of("i-1"));
    VersionRule.Wish notOld =
        new VersionRule.Wish("v1", false, VersionRule.Firmness.REQUIRED, Optional.empty());
    assertEquals(choose(Optional.of(notOld), Set.of()), Optional.empty());
  }

  /** A session that is at a version is refused rather than moved, while that version lives. */
  @Test
  public void testKeptWishGivesWayOnceNoneOfTheVersionIsLeft() {
    upstream("i-1", "here", "v1", false);
    upstream("i-2", "here", "v2", false);
    VersionRule.Wish kept =
        new VersionRule.Wish("v2", true, VersionRule.Firmness.KEPT, Optional.empty());
    assertEquals(choose(Optional.of(kept), Set.of()), Optional.of("i-2"));
    assertEquals(choose(Optional.of(kept), Set.of("i-2")), Optional.empty());
    upstream("i-2", "here", "v2", true);
    assertEquals(choose(Optional.of(kept), Set.of()), Optional.of("i-1"));
  }

  @Test
  public void testPromptIsReadAgainWhereItWasRead() {
    upstream("i-1", "here", "v1", false);
    upstream("i-2", "here", "v1", false);
    Generation text = generation(50_000, 10, 7, 8);
    UpstreamSelection.recordPrompt(tables.loads().row("i-2"), "m", generation(1, 1, 7));
    UpstreamSelection selection = selection();
    UpstreamSelection.Wanted wanted =
        new UpstreamSelection.Wanted(
            "pool",
            Optional.empty(),
            Optional.of("m"),
            Optional.of(
                new Generation(
                    "*", 100, 10, List.of(new PromptPart(7, 90_000)), OptionalInt.empty())),
            100,
            Set.of(),
            false);
    assertEquals(selection.choose(wanted, now).orElseThrow().name(), "i-2");
    assertEquals(text.prompt().size(), 2);
  }

  /** The upstream that an instance of the zone sends the prompt to, with engines of a speed. */
  private String placed(String zone, double millisPerToken, OpenReading reading, ZoneReach zones) {
    EngineSpeeds speeds = EngineSpeeds.create();
    speeds.heard("m", new ReadingLine(20, millisPerToken));
    UpstreamSelection selection =
        UpstreamSelection.create(
            zone, tables, speeds, reading, zones, openGate(), unused -> false, new Random(1));
    List<PromptPart> parts = List.of(new PromptPart(7, 13_000), new PromptPart(8, 4000));
    Generation text = new Generation("*", 17_000, 300, parts, OptionalInt.empty());
    UpstreamSelection.Wanted wanted =
        new UpstreamSelection.Wanted(
            "pool", Optional.empty(), Optional.of("m"), Optional.of(text), 17_000, Set.of(), false);
    return selection.choose(wanted, now).orElseThrow().name();
  }

  /**
   * Half of the upstreams refuse most of what they get, without asking for rest. A refusal was
   * forgotten, so they were chosen as often as the others, and 2,056 of 5,393 arrivals were
   * refused.
   */
  @Test
  public void testUpstreamsThatRefuseAreAskedLessAndNotKeptOut() {
    upstreamsOfThreeZones();
    List<String> all = List.copyOf(tables.upstreamsOf("pool"));
    Set<String> refusing = Set.copyOf(all.subList(0, all.size() / 2));
    UpstreamSelection selection = selection();
    int refusals = 0;
    for (int round = 0; round < 400; round++) {
      var chosen = selection.choose(wanted(Optional.empty(), Set.of()), now).orElseThrow();
      if (refusing.contains(chosen.name())) {
        refusals++;
        chosen.row().refused(now);
        assertFalse(chosen.row().ejected(now));
      } else {
        chosen.row().succeeded(now);
      }
    }
    assertTrue(refusals < 40, refusals + " of 400 refused");
  }

  private void upstreamsOfThreeZones() {
    for (String zone : List.of("a", "b", "c")) {
      for (int number = 0; number < 3; number++) {
        upstream("i-" + zone + number, zone, "v1", false);
      }
    }
  }

  @Test
  public void testSharedPartHasOneHomeWhereReadingItAgainTakesLong() {
    upstreamsOfThreeZones();
    Set<String> slow = new HashSet<>();
    Set<String> quick = new HashSet<>();
    for (String zone : List.of("a", "b", "c")) {
      slow.add(placed(zone, 0.2, OpenReading.create(), ZoneReach.create()));
      String near = placed(zone, 0.008, OpenReading.create(), ZoneReach.create());
      assertTrue(near.startsWith("i-" + zone), near + " for " + zone);
      quick.add(near);
    }
    assertEquals(slow.size(), 1, "homes " + slow);
    assertEquals(quick.size(), 3, "one home a zone");
  }

  @Test
  public void testHomeThatIsBusyOrCutOffGivesWay() {
    upstreamsOfThreeZones();
    String home = placed("a", 0.2, OpenReading.create(), ZoneReach.create());
    OpenReading reading = OpenReading.create();
    reading.heard(Map.of(home, 20_000), now);
    assertNotEquals(placed("a", 0.2, reading, ZoneReach.create()), home);
    String homeZone = tables.upstream(home).orElseThrow().zone();
    String away = homeZone.equals("a") ? "b" : "a";
    ZoneReach zones = ZoneReach.create();
    zones.notReached(homeZone, "i-x", now);
    zones.notReached(homeZone, "i-y", now);
    String other = placed(away, 0.2, OpenReading.create(), zones);
    assertNotEquals(tables.upstream(other).orElseThrow().zone(), homeZone);
  }

  @Test
  public void testAnswerThatMayBeGoodIsTakenWhereReadingAgainDelaysOthers() {
    configuration(1, "k");
    AnswerTimes times = AnswerTimes.create(clock);
    assertEquals(instead(times, 40, 50), OptionalInt.of(2));
    assertEquals(instead(times, 40, 900), OptionalInt.empty());
    assertEquals(instead(times, 5, 500), OptionalInt.of(2), "a poor one is not");
  }

  @Test
  public void testRouteWithoutGoalStillGetsBetterAnswers() {
    configuration(1, "k");
    Route withoutGoal = route("a", "/x/", 0);
    assertEquals(instead(withoutGoal, AnswerTimes.create(clock), 0, 300), OptionalInt.of(2));
  }

  private OptionalInt instead(AnswerTimes times, int confidence, int readingMillis) {
    return instead(route("a", "/x/"), times, confidence, readingMillis);
  }

  private OptionalInt instead(Route route, AnswerTimes times, int confidence, int readingMillis) {
    return ExpectedWorth.create(tables, times)
        .insteadOf(
            new StageRule.Poor(
                route,
                "pool",
                generation(1000, 300),
                0,
                confidence,
                Duration.ofMillis(100),
                model -> new HeadForecast(0, readingMillis, 1000, true)));
  }

  private OptionalInt instead(AnswerTimes times, int stage, int confidence, long elapsed) {
    Route route = route("a", "/x/");
    ExpectedWorth rule = ExpectedWorth.create(tables, times);
    return rule.insteadOf(
        new StageRule.Poor(
            route,
            "pool",
            generation(1000, 300),
            stage,
            confidence,
            Duration.ofMillis(elapsed),
            model -> new HeadForecast(0, EXPECTED.toMillis(), 1000, true)));
  }

  @Test
  public void testPoorAnswerIsReplacedOnlyWhileThatIsWorthMore() {
    configuration(1, "k");
    AnswerTimes times = AnswerTimes.create(clock);
    assertEquals(instead(times, 0, 10, 100), OptionalInt.of(2));
    assertEquals(instead(times, 0, 90, 100), OptionalInt.empty());
    assertEquals(instead(times, 2, 10, 100), OptionalInt.empty());
    AnswerTimes.Key slow = new AnswerTimes.Key(route("a", "/x/"), "large", EXPECTED);
    for (int answer = 0; answer < 200; answer++) {
      times.recordHeadTime(slow, Duration.ofMillis(5000));
    }
    assertEquals(instead(times, 0, 45, 100), OptionalInt.empty(), "a late answer is worth less");
  }

  @Test
  public void testPatienceGrowsWithThePromptAndWithSlowAnswers() {
    AnswerTimes times = AnswerTimes.create(clock);
    Route route = route("a", "/x/");
    AnswerTimes.Key small = new AnswerTimes.Key(route, "large", Duration.ofMillis(200));
    AnswerTimes.Key large = new AnswerTimes.Key(route, "large", Duration.ofSeconds(30));
    assertEquals(times.headTimeout(small), Duration.ofMillis(2500));
    for (int answer = 0; answer < 100; answer++) {
      times.recordHeadTime(small, Duration.ofMillis(300));
    }
    assertTrue(times.headTimeout(large).compareTo(Duration.ofSeconds(25)) > 0);
    assertTrue(times.probabilityOfHeadWithin(small, Duration.ofMillis(1500)) > 0.9);
    assertTrue(times.probabilityOfHeadWithin(large, Duration.ofMillis(1500)) < 0.1);
  }

  @Test
  public void testRetriesOfAllInstancesStayWithinTheAgreedShare() {
    GatewaySettings.Bounds bounds =
        new GatewaySettings.Bounds(
            Duration.ofSeconds(8), 0.9, 52, 0.15, Duration.ofSeconds(5), 1.5, 5);
    int retries = 0;
    int instances = 7;
    int firstTries = 100;
    for (int instance = 0; instance < instances; instance++) {
      RetryBudgets budgets = RetryBudgets.within(bounds, () -> 7);
      for (int request = 0; request < firstTries; request++) {
        budgets.of("pool").firstTry();
        for (int attempt = 0; attempt < 3; attempt++) {
          retries += budgets.of("pool").takeRetry() ? 1 : 0;
        }
      }
    }
    assertTrue(retries <= 0.9 * instances * firstTries + 52, "retries " + retries);
    assertTrue(retries > 0.6 * instances * firstTries, "retries " + retries);
  }
}
