// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.oatlug.test.RolloutSample.BOUNDS;
import static org.oatlug.test.RolloutSample.NEW;
import static org.oatlug.test.RolloutSample.OLD;
import static org.oatlug.test.RolloutSample.ROUTE;
import static org.oatlug.test.RolloutSample.SERVICE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.oatlug.api.ObjectKey;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.ServiceRollout;
import org.oatlug.internal.gateway.GatewayTables;
import org.oatlug.internal.gateway.RolloutDirector;
import org.oatlug.internal.gateway.VersionRule;
import org.oatlug.internal.gateway.VersionRule.Firmness;
import org.oatlug.internal.gateway.VersionRule.PriorAttempts;
import org.oatlug.internal.gateway.VersionRule.VersionPreference;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Checks the version preference for a session whose request failed on a version or found no
 * upstream of it.
 *
 * <p>Guards against a session that changes version because the preference is not binding. A request
 * that fails on the new version is then retried on the old one as soon as the logarithm of the
 * evidence against the new version exceeds 1, which a healthy version reaches in up to one of three
 * roll-outs; and a request whose version has no free upstream goes to any version.
 */
public class SessionVersionTest {
  private static final Duration ROLLOUT_DURATION = Duration.ofSeconds(24);

  private final FakeClock clock = new FakeClock();
  private RolloutDirector director;

  @BeforeMethod
  void startRollout() {
    GatewayTables tables = GatewayTables.create(clock);
    Member self = new Member("i-1", "z", "i-1", "127.0.0.1", 1, 1, 0, Member.State.ALIVE);
    director =
        RolloutDirector.create(
            tables,
            FakePlatform.create(),
            Membership.create(self, clock, new Random(1)),
            clock,
            Meters.of(new MetricRegistry()),
            BOUNDS);
    ServiceRollout rollout =
        new ServiceRollout(
            SERVICE, NEW, StoreRevision.ofNumber(1), ROLLOUT_DURATION.toMillis(), Optional.empty());
    ObjectKey key = ObjectKey.valueOf(GatewayKinds.ROLLOUT, SERVICE);
    tables.mergeAll(
        List.of(StoredObject.of(key, StoreRevision.ofNumber(1), Json.STRICT.valueToTree(rollout))));
    assertEquals(director.evidence().size(), 1);
  }

  private static RequestHead requestOf(String session) {
    return new RequestHead(
        "id",
        "h",
        "/",
        Optional.empty(),
        Optional.empty(),
        Optional.of(session),
        OptionalLong.empty(),
        Optional.empty());
  }

  private VersionPreference preferenceFor(String session, PriorAttempts priorAttempts) {
    return director.preferenceFor(SERVICE, ROUTE, requestOf(session), priorAttempts).orElseThrow();
  }

  private static PriorAttempts priorFailureOn(String version, VersionPreference first) {
    return new PriorAttempts(Optional.of(version), first.basis());
  }

  /** Records enough failures of the new version to make it suspicious but not refuted. */
  private void recordSuspiciousFailures() {
    for (int number = 0; number < 6; number++) {
      director.recordResponse(
          new VersionRule.Response(SERVICE, OLD, ROUTE, "", false, Duration.ofMillis(50)));
      director.recordResponse(
          new VersionRule.Response(SERVICE, NEW, ROUTE, "", true, Duration.ofMillis(50)));
    }
    double evidence = director.status().get(0).evidence();
    assertTrue(evidence > 1 && evidence < 5, "evidence " + evidence);
  }

  @Test
  public void testSessionOnNewVersionKeepsItAfterOneFailure() {
    director.recordSent(SERVICE, NEW, requestOf("s"));
    recordSuspiciousFailures();
    clock.advance(Duration.ofSeconds(1));
    VersionPreference first = preferenceFor("s", PriorAttempts.NONE);
    assertTrue(first.isSatisfiedBy(NEW));
    assertEquals(first.firmness(), Firmness.KEPT);
    director.recordSent(SERVICE, NEW, requestOf("s"));
    VersionPreference second = preferenceFor("s", priorFailureOn(NEW, first));
    assertTrue(second.isSatisfiedBy(NEW));
    assertEquals(second.firmness(), Firmness.KEPT);
  }

  @Test
  public void testNewSessionMayChangeVersionAfterItsFirstFailure() {
    clock.advance(ROLLOUT_DURATION.multipliedBy(8).dividedBy(10));
    recordSuspiciousFailures();
    VersionPreference first = preferenceFor("s", PriorAttempts.NONE);
    assertTrue(first.isSatisfiedBy(NEW));
    assertEquals(first.firmness(), Firmness.PREFERRED);
    director.recordSent(SERVICE, NEW, requestOf("s"));
    VersionPreference second = preferenceFor("s", priorFailureOn(NEW, first));
    assertFalse(second.isSatisfiedBy(NEW));
  }

  @Test
  public void testSessionOnOldVersionKeepsItInFirstHalfAndMayMoveLater() {
    director.recordSent(SERVICE, OLD, requestOf("s"));
    clock.advance(ROLLOUT_DURATION.multipliedBy(4).dividedBy(10));
    VersionPreference early = preferenceFor("s", PriorAttempts.NONE);
    assertFalse(early.isSatisfiedBy(NEW));
    assertEquals(early.firmness(), Firmness.KEPT);
    clock.advance(ROLLOUT_DURATION.multipliedBy(4).dividedBy(10));
    VersionPreference late = preferenceFor("s", PriorAttempts.NONE);
    assertTrue(late.isSatisfiedBy(NEW));
    assertEquals(late.firmness(), Firmness.PREFERRED);
  }
}
