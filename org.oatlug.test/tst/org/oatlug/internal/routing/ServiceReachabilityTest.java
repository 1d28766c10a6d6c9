// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when an instance takes a service for unreachable. */
public class ServiceReachabilityTest {
  private static final String SERVICE = "pool";
  private static final Instant START = Instant.parse("2026-12-02T12:00:00Z");

  private final List<String> upstreams = new ArrayList<>();
  private ServiceReachability reachability;

  @BeforeMethod
  void create() {
    upstreams.clear();
    upstreams.addAll(List.of("i-1", "i-2", "i-3"));
    reachability = ServiceReachability.create(service -> upstreams);
  }

  private static Instant at(long millis) {
    return START.plus(Duration.ofMillis(millis));
  }

  private void fail(String upstream, long startedAt, long failedAt) {
    reachability.recordFailure(SERVICE, upstream, at(startedAt), at(failedAt));
  }

  @Test
  public void testOneFailedUpstreamIsNoLostService() {
    fail("i-1", 0, 400);
    fail("i-1", 400, 800);
    assertFalse(reachability.isUnreachable(SERVICE));
  }

  @Test
  public void testTwoFailedUpstreamsAreLostServiceUntilOneOpens() {
    fail("i-1", 0, 400);
    fail("i-2", 400, 800);
    assertTrue(reachability.isUnreachable(SERVICE));
    reachability.recordOpened(SERVICE, at(900));
    assertFalse(reachability.isUnreachable(SERVICE));
  }

  @Test
  public void testAttemptBegunBeforeAnOpenedConnectionProvesNothing() {
    reachability.recordOpened(SERVICE, at(300));
    fail("i-1", 0, 400);
    fail("i-2", 200, 600);
    assertFalse(reachability.isUnreachable(SERVICE));
  }

  /** Guards against an instance with a full link that takes a service that responds for lost. */
  @Test
  public void testBytesReceivedSinceAttemptBeganDisproveItsFailure() {
    fail("i-1", 0, 400);
    reachability.recordReceived(SERVICE, at(300));
    fail("i-2", 200, 600);
    fail("i-3", 250, 650);
    assertFalse(reachability.isUnreachable(SERVICE));
    fail("i-1", 400, 800);
    fail("i-2", 800, 1200);
    assertTrue(reachability.isUnreachable(SERVICE), "nothing was received since these began");
    reachability.recordReceived(SERVICE, at(1300));
    assertFalse(reachability.isUnreachable(SERVICE));
  }

  @Test
  public void testOnlyUpstreamSuffices() {
    upstreams.retainAll(List.of("i-1"));
    fail("i-1", 0, 400);
    assertTrue(reachability.isUnreachable(SERVICE));
  }

  @Test
  public void testFailuresFarApartAreUnrelated() {
    fail("i-1", 0, 400);
    fail("i-2", 60_000, 60_400);
    assertFalse(reachability.isUnreachable(SERVICE));
  }

  @Test
  public void testUpstreamsThatHaveLeftProveNothing() {
    fail("i-1", 0, 400);
    fail("i-2", 400, 800);
    upstreams.clear();
    upstreams.addAll(List.of("i-4", "i-5"));
    assertFalse(reachability.isUnreachable(SERVICE));
  }

  @Test
  public void testServicesAreIndependent() {
    fail("i-1", 0, 400);
    fail("i-2", 400, 800);
    assertFalse(reachability.isUnreachable("desk"));
  }
}
