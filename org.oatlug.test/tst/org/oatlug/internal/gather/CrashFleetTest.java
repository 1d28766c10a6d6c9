// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.oatlug.internal.crash.RequestFingerprint;
import org.oatlug.internal.gather.CrashSimulation.Policy;
import org.oatlug.internal.gather.StateExchangeFleet.Instance;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests that crash each upstream that runs them and that callers retry at any
 * instance. Crash records that one instance kept, and only until the caller's try ended, let 33
 * upstreams crash under one request, each with the 3 to 30 other requests that ran there.
 *
 * <p>Many instances replicate crash records in virtual time. Once a guilty request has crashed
 * three upstreams and the records are replicated, it must reach upstreams at most three more times;
 * innocent requests, many of which run during crashes, must still be served.
 */
public class CrashFleetTest {
  private static final Duration SECOND = Duration.ofSeconds(1);

  /** The target time within which all reachable instances have the records. */
  private static final Duration REPLICATED_WITHIN = Duration.ofSeconds(3);

  private static final int MAXIMUM_SENT_AFTERWARDS = 3;
  private static final int SEEDS = 4;

  @DataProvider
  Object[][] sizes() {
    return new Object[][] {{3, 2, 13}, {3, 20, 78}, {5, 19, 37}};
  }

  private static CrashSimulation simulate(
      Policy policy, int zones, int perZone, int upstreams, int guilty, long seed) {
    StateExchangeFleet fleet = StateExchangeFleet.of(zones, perZone, seed);
    CrashSimulation simulation = new CrashSimulation(fleet, policy, upstreams, seed);
    fleet.run(SECOND);
    for (int number = 0; number < guilty; number++) {
      simulation.sendGuilty("guilty-" + number, Duration.ofMillis(290 + 40L * number), 100);
    }
    for (int number = 0; number < 5; number++) {
      simulation.sendOften("often-" + number, Duration.ofMillis(60 + number), 400);
    }
    simulation.sendLong(Duration.ofMillis(30), 800);
    fleet.run(SECOND.multipliedBy(32));
    return simulation;
  }

  @Test(dataProvider = "sizes")
  public void testGuiltyRequestsAreStoppedAndInnocentOnesServed(
      int zones, int perZone, int upstreams) {
    int innocent = 0;
    int refused = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      CrashSimulation simulation = simulate(Policy.ISOLATE, zones, perZone, upstreams, 2, seed);
      String context = "seed " + seed;
      assertTrue(
          simulation.guiltySentLate() <= MAXIMUM_SENT_AFTERWARDS,
          context + ": guilty attempts sent late " + simulation.guiltySentLate());
      innocent += simulation.innocent();
      refused += simulation.innocentRefused();
    }
    assertTrue(
        refused * 500 <= innocent, refused + " of " + innocent + " innocent requests refused");
  }

  /** Compares the policies; each crash fails all requests that run on the upstream. */
  @Test
  public void testIsolationCrashesAndRefusesNoMoreThanOtherPolicies() {
    int[] crashed = new int[Policy.values().length];
    int[] refused = new int[Policy.values().length];
    for (Policy policy : Policy.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        CrashSimulation simulation = simulate(policy, 3, 2, 13, 2, seed);
        crashed[policy.ordinal()] += simulation.crashed();
        refused[policy.ordinal()] += simulation.innocentRefused();
      }
    }
    assertTrue(refused[Policy.ISOLATE.ordinal()] <= refused[Policy.COUNT.ordinal()]);
    assertTrue(crashed[Policy.ISOLATE.ordinal()] <= crashed[Policy.CLEARED.ordinal()]);
  }

  @Test(dataProvider = "sizes")
  public void testSimultaneousCrashesRefuseNoRequest(int zones, int perZone, int upstreams) {
    StateExchangeFleet fleet = StateExchangeFleet.of(zones, perZone, 7);
    CrashSimulation simulation = new CrashSimulation(fleet, Policy.ISOLATE, upstreams, 7);
    fleet.run(SECOND);
    simulation.sendOften("often", Duration.ofMillis(5), 4000);
    for (int round = 1; round <= 4; round++) {
      fleet.after(SECOND.multipliedBy(4L * round), () -> simulation.crashSome(upstreams / 2));
    }
    fleet.run(SECOND.multipliedBy(25));
    assertEquals(simulation.innocentRefused(), 0);
  }

  @Test(dataProvider = "sizes")
  public void testCrashRecordsReachAllInstancesInTime(int zones, int perZone, int upstreams) {
    StateExchangeFleet fleet = StateExchangeFleet.of(zones, perZone, 3);
    fleet.run(SECOND);
    String guilty = RequestFingerprint.of("host", "/", "", new byte[0]);
    recordCrash(fleet, guilty, 0, "i-1");
    recordCrash(fleet, guilty, perZone, "i-2");
    recordCrash(fleet, guilty, zones * perZone - 1, "i-3");
    fleet.run(REPLICATED_WITHIN);
    assertReplicated(fleet, guilty);
  }

  @Test(dataProvider = "sizes")
  public void testCrashRecordsSurviveTheLossOfCollectors(int zones, int perZone, int upstreams) {
    StateExchangeFleet fleet = StateExchangeFleet.of(zones, perZone, 4);
    fleet.run(SECOND);
    String guilty = RequestFingerprint.of("host", "/", "", new byte[0]);
    for (int number = 1; number <= 3; number++) {
      recordCrash(fleet, guilty, number % 2, "i-" + number);
      fleet.run(Duration.ofMillis(100));
    }
    for (int zone = 0; zone < zones; zone++) {
      fleet.stop(fleet.collectorOf("zone-" + zone).name());
    }
    fleet.run(REPLICATED_WITHIN);
    assertReplicated(fleet, guilty);
  }

  @Test(dataProvider = "sizes")
  public void testFewMessagesOnceCrashRecordsAreReplicated(int zones, int perZone, int upstreams) {
    StateExchangeFleet fleet = StateExchangeFleet.of(zones, perZone, 5);
    fleet.run(SECOND);
    String guilty = RequestFingerprint.of("host", "/", "", new byte[0]);
    recordCrash(fleet, guilty, 0, "i-1");
    recordCrash(fleet, guilty, 1, "i-2");
    fleet.run(REPLICATED_WITHIN);
    int before = fleet.messages();
    fleet.run(SECOND.multipliedBy(10));
    assertTrue(
        fleet.messages() - before <= 10 * zones * perZone,
        "more than one message per instance and second");
  }

  private static void recordCrash(
      StateExchangeFleet fleet, String guilty, int instance, String process) {
    Instance observer = fleet.instances().get(instance);
    var now = fleet.clock().instant();
    observer.ledger.recordCrash(guilty, "", process, now.minusMillis(20), now);
    fleet.run(Duration.ofMillis(30));
  }

  private static void assertReplicated(StateExchangeFleet fleet, String guilty) {
    for (Instance instance : fleet.instances()) {
      if (!fleet.isStopped(instance.name())) {
        assertEquals(instance.ledger.crashedProcesses(guilty).size(), 3, instance.name());
      }
    }
  }
}
