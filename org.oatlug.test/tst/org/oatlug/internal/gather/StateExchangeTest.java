// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.oatlug.internal.crash.CrashUpdate;
import org.oatlug.internal.engine.PrefillTimeModel;
import org.oatlug.internal.gather.StateExchangeFleet.Instance;
import org.oatlug.internal.limit.AdvertisedLimit;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.rollout.ComparedPairs;
import org.oatlug.internal.rollout.PairCounts;
import org.oatlug.internal.rollout.VersionEvidence;
import org.oatlug.platform.StoreRevision;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Verifies the state exchange through collectors: content, delay and number of messages, in virtual
 * time.
 *
 * <p>Direct exchange between 95 instances at an interval of 250 ms would take 35,720 messages per
 * second during a roll-out, without the pending prompts.
 */
public class StateExchangeTest {
  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final int SECONDS = 10;

  /**
   * Short enough that all instances know of a prompt that waits for one second before its prefill
   * starts.
   */
  private static final Duration KNOWN_WITHIN = Duration.ofMillis(900);

  /** A tick each of an instance, its collector and a remote collector, and the network latency. */
  private static final Duration COLLECTORS_KNOW_WITHIN = Duration.ofMillis(350);

  @DataProvider
  Object[][] sizes() {
    return new Object[][] {{3, 2}, {5, 19}};
  }

  @Test(dataProvider = "sizes")
  public void testMessageRateIsBoundedUnderFrequentChanges(int zones, int perZone) {
    StateExchangeFleet fleet = StateExchangeFleet.of(zones, perZone, 1);
    fleet.run(SECOND);
    int before = fleet.messages();
    int betweenBefore = fleet.messagesBetweenZones();
    for (int step = 0; step < SECONDS * 20; step++) {
      for (Instance instance : fleet.instances()) {
        instance.openMillis.merge("i-1", 1, Integer::sum);
      }
      fleet.run(SECOND.dividedBy(20));
    }
    double sent = (double) (fleet.messages() - before) / SECONDS;
    double between = (double) (fleet.messagesBetweenZones() - betweenBefore) / SECONDS;
    assertTrue(sent <= 11 * zones * perZone, "messages per second: " + sent);
    assertTrue(
        sent - between <= 101 * zones, "messages per second within zones: " + (sent - between));
    assertTrue(between <= 4 * zones * (zones - 1), "messages per second between zones: " + between);
  }

  @Test(dataProvider = "sizes")
  public void testFewMessagesWhileIdle(int zones, int perZone) {
    StateExchangeFleet fleet = StateExchangeFleet.of(zones, perZone, 1);
    fleet.run(SECOND);
    int before = fleet.messages();
    fleet.run(SECOND.multipliedBy(SECONDS));
    assertTrue(
        fleet.messages() - before <= SECONDS * zones * perZone,
        "more than one message per instance and second");
  }

  @Test(dataProvider = "sizes")
  public void testPendingPromptsReachAllInstances(int zones, int perZone) {
    StateExchangeFleet fleet = StateExchangeFleet.of(zones, perZone, 2);
    fleet.run(SECOND);
    fleet.instances().forEach(instance -> instance.openMillis.put("i-1", 10));
    fleet.run(KNOWN_WITHIN);
    for (Instance instance : fleet.instances()) {
      int others = 10 * (zones * perZone - 1);
      assertEquals(instance.others.openMillis(), Map.of("i-1", others), instance.name());
    }
    fleet.run(SECOND.multipliedBy(SECONDS));
    for (Instance instance : fleet.instances()) {
      int others = 10 * (zones * perZone - 1);
      assertEquals(instance.others.openMillis(), Map.of("i-1", others), "later " + instance.name());
    }
  }

  @Test(dataProvider = "sizes")
  public void testEvidenceReachesAllInstancesAndCountsOnce(int zones, int perZone) {
    StateExchangeFleet fleet = StateExchangeFleet.of(zones, perZone, 3);
    fleet.run(SECOND);
    fleet.instances().forEach(instance -> instance.worse = 2);
    fleet.run(KNOWN_WITHIN);
    for (Instance instance : fleet.instances()) {
      assertEquals(instance.allWorse(), 2L * zones * perZone, instance.name());
    }
  }

  /** Direct messages every 250 ms with an evaluation every 250 ms would take up to 500 ms. */
  @Test(dataProvider = "sizes")
  public void testEvidenceReachesCollectorsFirst(int zones, int perZone) {
    StateExchangeFleet fleet = StateExchangeFleet.of(zones, perZone, 3);
    fleet.run(SECOND);
    fleet.instances().forEach(instance -> instance.worse = 2);
    fleet.run(COLLECTORS_KNOW_WITHIN);
    for (int zone = 0; zone < zones; zone++) {
      Instance collector = fleet.collectorOf("zone-" + zone);
      assertEquals(collector.allWorse(), 2L * zones * perZone, collector.name());
    }
  }

  @Test(dataProvider = "sizes")
  public void testRefutationReachesAllInstancesAtOnce(int zones, int perZone) {
    for (long seed = 1; seed <= 30; seed++) {
      StateExchangeFleet fleet = StateExchangeFleet.of(zones, perZone, seed);
      fleet.run(SECOND);
      Instance refuter = fleet.instances().get(zones * perZone - 1);
      refuter.worse = 30;
      refuter.refuted = true;
      refuter.system.sendReportNow();
      fleet.run(Duration.ofMillis(100));
      for (Instance instance : fleet.instances()) {
        assertTrue(instance.refuted, instance.name() + " with seed " + seed);
      }
    }
  }

  @Test
  public void testStoppedCollectorIsReplaced() {
    StateExchangeFleet fleet = StateExchangeFleet.of(5, 19, 5);
    fleet.instances().forEach(instance -> instance.worse = 1);
    fleet.run(SECOND);
    Instance collector = fleet.collectorOf("zone-0");
    fleet.stop(collector.name());
    fleet.instances().forEach(instance -> instance.worse = 2);
    fleet.run(SECOND.multipliedBy(2));
    for (Instance instance : fleet.instances()) {
      if (instance != collector) {
        // The stopped instance counts with its last report, or not at all if its sum was lost.
        long all = 2 * 94;
        assertTrue(instance.allWorse() >= all, instance.name() + " " + instance.allWorse());
        assertTrue(instance.allWorse() <= all + 2, instance.name() + " " + instance.allWorse());
      }
    }
  }

  @Test
  public void testResumedCollectorCountsNothingTwice() {
    StateExchangeFleet fleet = StateExchangeFleet.of(5, 19, 6);
    fleet.instances().forEach(instance -> instance.worse = 3);
    fleet.run(SECOND);
    Instance collector = fleet.collectorOf("zone-1");
    fleet.stop(collector.name());
    fleet.run(SECOND.multipliedBy(3));
    fleet.resume(collector.name());
    fleet.run(SECOND.multipliedBy(4));
    for (Instance instance : fleet.instances()) {
      assertEquals(instance.allWorse(), 3 * 95, instance.name());
    }
  }

  @Test
  public void testZoneIsCountedOnceAfterPartition() {
    StateExchangeFleet fleet = StateExchangeFleet.of(5, 19, 7);
    fleet.instances().forEach(instance -> instance.worse = 1);
    fleet.run(SECOND);
    fleet.partition("zone-2", true);
    fleet.instances().forEach(instance -> instance.worse = 4);
    fleet.run(SECOND.multipliedBy(4));
    fleet.partition("zone-2", false);
    fleet.run(SECOND.multipliedBy(4));
    for (Instance instance : fleet.instances()) {
      assertEquals(instance.allWorse(), 4 * 95, instance.name());
    }
  }

  @Test
  public void testSessionsReachAllInstances() {
    StateExchangeFleet fleet = StateExchangeFleet.of(5, 19, 8);
    fleet.run(SECOND);
    for (int index = 0; index < fleet.instances().size(); index++) {
      SessionObservation session =
          new SessionObservation(StateExchangeFleet.SERVICE, index, "v1", 0);
      fleet.instances().get(index).unsent.add(session);
    }
    fleet.run(SECOND.multipliedBy(2));
    for (Instance instance : fleet.instances()) {
      assertTrue(instance.receivedSessions.size() >= 94, instance.name());
    }
  }

  private static StateReport evidence(long worse) {
    PairCounts failures = new PairCounts(worse, 0);
    ComparedPairs pairs = new ComparedPairs(failures, PairCounts.NONE, PairCounts.NONE);
    VersionEvidence evidence =
        new VersionEvidence(
            StateExchangeFleet.SERVICE,
            StateExchangeFleet.VERSION,
            StoreRevision.ofNumber(1),
            pairs,
            10,
            false,
            0,
            1);
    return new StateReport(Map.of(), List.of(evidence), Map.of(), Map.of(), Map.of());
  }

  private static StateReport reportOf(AdvertisedLimit limit) {
    return new StateReport(Map.of(), List.of(), Map.of(), Map.of("i-1@1", limit), Map.of());
  }

  @DataProvider
  Object[][] invalidReports() {
    PrefillTimeModel invalidSpeed = new PrefillTimeModel(Double.NaN, -1);
    return new Object[][] {
      {evidence(-1)},
      {evidence(Long.MAX_VALUE)},
      {new StateReport(Map.of("i-1", -5), List.of(), Map.of(), Map.of(), Map.of())},
      {new StateReport(Map.of("i-1", Integer.MAX_VALUE), List.of(), Map.of(), Map.of(), Map.of())},
      {new StateReport(Map.of(), List.of(), Map.of("large", invalidSpeed), Map.of(), Map.of())},
      {new StateReport(null, List.of(), Map.of(), Map.of(), Map.of())},
      {reportOf(new AdvertisedLimit(Double.NaN, 0))},
      {reportOf(new AdvertisedLimit(-2, 0))},
      {reportOf(new AdvertisedLimit(1, -1))},
      {reportOf(new AdvertisedLimit(1, Long.MAX_VALUE))},
      {null},
    };
  }

  @Test(dataProvider = "invalidReports")
  public void testInvalidReportIsRejectedWithoutEffect(StateReport invalid) {
    StateExchangeFleet fleet = StateExchangeFleet.of(1, 3, 9);
    fleet.run(SECOND);
    Instance collector = fleet.collectorOf("zone-0");
    Instance other =
        fleet.instances().stream()
            .filter(instance -> instance != collector)
            .findFirst()
            .orElseThrow();
    PeerMessage response =
        collector.system.handle(
            other.membership.self(),
            new PeerMessage.InstanceAccount(invalid, List.of(), 0, CrashUpdate.NONE, 0));
    assertTrue(response instanceof PeerMessage.Failed, "response " + response);
    fleet.run(SECOND);
    assertEquals(other.others.openMillis(), Map.of());
    assertEquals(other.allWorse(), 0);
  }
}
