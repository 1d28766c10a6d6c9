// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.oatlug.gateway.Route;
import org.oatlug.internal.rollout.ComparedPairs;
import org.oatlug.internal.rollout.OrderAge;
import org.oatlug.internal.rollout.RolloutGuard;
import org.oatlug.internal.rollout.VersionEvidence;
import org.oatlug.platform.StoreRevision;
import org.testng.annotations.Test;

/** Tests the traffic share of a candidate version, and when the version is refuted. */
public class RolloutDecisionTest {
  private static final StoreRevision ORDER = StoreRevision.ofNumber(1);
  private Instant now = Instant.parse("2026-12-02T12:00:00Z");
  private final InstantSource clock = () -> now;

  @Test
  public void testScheduleKeepsBadVersionWithinItsShare() {
    RolloutSchedule schedule = RolloutSchedule.withExposureBound(0.15);
    double shareSum = 0;
    double previousShare = 0;
    for (int step = 0; step < 1000; step++) {
      double share = schedule.shareAt(step / 1000.0);
      assertTrue(share >= previousShare, "the share never falls");
      assertTrue(
          share - previousShare < 0.1,
          "the share grows gradually, not by " + (share - previousShare));
      previousShare = share;
      shareSum += share < 1 ? share : 0;
    }
    assertTrue(
        shareSum / 1000 < 0.13, "shares below 1, averaged over the roll-out: " + shareSum / 1000);
    assertFalse(schedule.sessionsMayMove(0.49));
    assertEquals(schedule.shareAt(0.9), 1.0);
  }

  @Test
  public void testSessionExpiresAndLocalObservationWinsAtTheSameInstant() {
    SessionVersions sessions = SessionVersions.withPause(Duration.ofSeconds(5));
    sessions.recordLocal(1, "v1", now);
    sessions.recordRemote(1, "other", now);
    sessions.recordRemote(2, "other", now);
    assertEquals(sessions.lastVersion(1, now), Optional.of("v1"));
    assertEquals(sessions.lastVersion(2, now), Optional.of("other"));
    assertTrue(sessions.lastVersion(1, now.plusSeconds(60)).isEmpty());
  }

  @Test
  public void testBadVersionIsRefutedSoonAndGoodVersionIsNot() {
    Route route = GatewayDecisionTest.route("a", "/x/");
    RolloutTrial good = newTrial();
    RolloutTrial bad = newTrial();
    RolloutTrial slow = newTrial();
    Random random = new Random(20261202);
    for (int answer = 0; answer < 60; answer++) {
      for (String version : List.of("v1", "v2")) {
        boolean fails = random.nextInt(50) == 0;
        Duration took = Duration.ofMillis(100 + random.nextInt(100));
        good.add(new VersionRule.Response("pool", version, route, "m", fails, took), now);
        boolean faulty = version.equals("v2") && random.nextBoolean();
        bad.add(new VersionRule.Response("pool", version, route, "m", faulty, took), now);
        Duration slowed = faulty ? took.multipliedBy(8) : took;
        slow.add(new VersionRule.Response("pool", version, route, "m", false, slowed), now);
      }
    }
    assertFalse(good.isRefuted());
    assertTrue(bad.isRefuted());
    assertTrue(slow.isRefuted());
  }

  /**
   * At the end of a roll-out the new version serves all requests with cold caches and is compared
   * with times of the old version, which had warm caches and receives no requests any more.
   */
  @Test
  public void testGoodVersionOnColdEnginesIsNotRefutedAndSlowVersionIs() {
    RolloutTrial good = newTrial();
    RolloutTrial slowUnderLoad = newTrial();
    Random random = new Random(20261202);
    for (int answer = 0; answer < 100; answer++) {
      for (RolloutTrial trial : List.of(good, slowUnderLoad)) {
        trial.add(answerAfter("v1", 100 + random.nextInt(100)), now);
        trial.add(answerAfter("v2", 100 + random.nextInt(100)), now);
        trial.add(answerAfter("v1", 100 + random.nextInt(100)), now);
      }
    }
    now = now.plusSeconds(2);
    for (int answer = 0; answer < 400; answer++) {
      boolean late = random.nextInt(100) < 12;
      good.add(answerAfter("v2", late ? 1500 : 200), now);
    }
    int instances = 7;
    ComparedPairs remote = ComparedPairs.NONE;
    for (int instance = 1; instance < instances; instance++) {
      remote = remote.plus(good.localPairs());
    }
    good.addRemoteEvidence(
        new VersionEvidence(
            "pool", "v2", ORDER, remote, 400L * (instances - 1), false, 0, instances - 1),
        now);
    assertFalse(
        RolloutGuard.sufficesForGlobalHalt(good.totalEvidence()),
        "evidence " + good.totalEvidence());
    int answers = 0;
    while (!slowUnderLoad.isRefuted() && answers < 60) {
      answers++;
      slowUnderLoad.add(answerAfter("v1", 150), now);
      slowUnderLoad.add(answerAfter("v2", answers % 2 == 0 ? 1200 : 150), now);
    }
    assertTrue(answers < 40, "answers before the refutation: " + answers);
  }

  private RolloutTrial newTrial() {
    return RolloutTrial.of(
        "v2",
        ORDER,
        OrderAge.firstRead(now, true),
        Duration.ofSeconds(16),
        RolloutSchedule.withExposureBound(0.15),
        Map.of());
  }

  private static VersionRule.Response answerAfter(String version, long millis) {
    return new VersionRule.Response(
        "pool",
        version,
        GatewayDecisionTest.route("a", "/x/"),
        "m",
        false,
        Duration.ofMillis(millis));
  }

  @Test
  public void testVersionWithSlowEventsIsRefutedSoon() {
    RolloutTrial slow = newTrial();
    RolloutTrial good = newTrial();
    Random random = new Random(20261202);
    int streams = 0;
    while (!slow.isRefuted() && streams < 100) {
      streams++;
      now = now.plusMillis(200);
      for (int old = 0; old < 8; old++) {
        double millis = 30 + random.nextInt(40);
        slow.add(eventInterval("v1", millis), now);
        good.add(eventInterval("v1", millis), now);
      }
      slow.add(eventInterval("v2", 110 + random.nextInt(40)), now);
      good.add(eventInterval("v2", 40 + random.nextInt(50)), now);
    }
    assertTrue(streams < 25, "streams before the refutation: " + streams);
    assertFalse(good.isRefuted());
  }

  private static VersionRule.EventInterval eventInterval(String version, double millisPerEvent) {
    return new VersionRule.EventInterval(
        "pool", version, GatewayDecisionTest.route("a", "/x/"), "m", millisPerEvent);
  }

  @Test
  public void testEventIntervalIsReportedOnceAndNotForStreamThatWaitsForItsCaller() {
    StreamEventInterval interval = new StreamEventInterval();
    assertTrue(interval.add(1, now).isEmpty());
    for (int event = 1; event < 7; event++) {
      assertTrue(interval.add(1, now.plusMillis(50L * event)).isEmpty());
    }
    assertEquals(interval.add(1, now.plusMillis(350)).orElseThrow(), 50.0);
    assertTrue(interval.end().isEmpty());
    StreamEventInterval waiting = new StreamEventInterval();
    waiting.add(2, now);
    waiting.discard();
    waiting.add(9, now.plusMillis(900));
    assertTrue(waiting.end().isEmpty());
    StreamEventInterval brief = new StreamEventInterval();
    brief.add(1, now);
    brief.add(2, now.plusMillis(60));
    assertEquals(brief.end().orElseThrow(), 30.0);
  }
}
