// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ConnectTimeoutException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests which connects show that this instance is slow itself.
 *
 * <p>Guards against an instance that takes its own full link for the failure of upstreams, and
 * against one that takes a real failure for its own delay.
 */
public class ConnectTimesTest {
  private static final Duration TIMEOUT = Duration.ofMillis(400);

  private VirtualTime time;
  private ConnectTimes connects;
  private TimeoutEvidence timeouts;

  @BeforeMethod
  void setUp() {
    time = new VirtualTime();
    connects = ConnectTimes.create(time);
    EventLoopDelay delay = EventLoopDelay.create(time, Runnable::run, sample -> {});
    timeouts = TimeoutEvidence.create(delay, connects, time, Meters.of(new MetricRegistry()));
    open("usual", 2);
    time.run(Duration.ofSeconds(1));
  }

  private void open(String target, long millis) {
    ConnectTimes.Connect connect = connects.begin("pool", target);
    time.run(Duration.ofMillis(millis));
    connect.opened();
  }

  /**
   * Lets connects to some targets of a service time out while services respond; returns whether the
   * last timeout is evidence.
   */
  private boolean timeOut(int targets, String... respondingServices) {
    final Instant startedAt = time.instant();
    List<ConnectTimes.Connect> attempts = new ArrayList<>();
    for (int number = 1; number <= targets; number++) {
      attempts.add(connects.begin("pool", "i-" + number));
    }
    time.run(TIMEOUT.dividedBy(2));
    List.of(respondingServices).forEach(connects::recordReceived);
    time.run(TIMEOUT.dividedBy(2));
    attempts.forEach(ConnectTimes.Connect::timedOut);
    return timeouts.counts(new ConnectTimeoutException(), startedAt, TIMEOUT);
  }

  @Test
  public void testTimeoutOfAllConnectsWhileResponsesArriveIsNoEvidence() {
    assertFalse(timeOut(4, "pool"));
  }

  /** Guards against crashed upstreams that are used on, because too few others were tried. */
  @Test
  public void testTimeoutOfFewTargetsIsEvidenceAlthoughResponsesArrive() {
    assertTrue(timeOut(3, "pool"));
  }

  /** Guards against a lost service that others excuse because their open streams go on. */
  @Test
  public void testTimeoutOfAllConnectsIsEvidenceIfOnlyAnotherServiceResponds() {
    assertTrue(timeOut(4, "desk"));
  }

  @Test
  public void testTimeoutWithoutAnyResponseIsEvidence() {
    assertTrue(timeOut(4), "the network may be partitioned");
  }

  @Test
  public void testTimeoutBesideQuickConnectIsEvidence() {
    final Instant startedAt = time.instant();
    final ConnectTimes.Connect lost = connects.begin("pool", "i-1");
    open("i-2", 3);
    connects.recordReceived("pool");
    time.run(TIMEOUT.minusMillis(3));
    lost.timedOut();
    assertTrue(timeouts.counts(new ConnectTimeoutException(), startedAt, TIMEOUT));
  }

  @Test
  public void testOneSlowTargetShowsNothingUnlessOthersAreSlowAsWell() {
    ConnectTimes.Connect slow = connects.begin("pool", "i-1");
    time.run(Duration.ofMillis(300));
    connects.recordReceived("pool");
    slow.opened();
    assertEquals(connects.currentDelay(), Duration.ZERO);
    connects.begin("pool", "i-2");
    time.run(Duration.ofMillis(49));
    assertEquals(connects.currentDelay(), Duration.ZERO, "the other one has just begun");
    time.run(Duration.ofMillis(1));
    assertEquals(connects.currentDelay(), Duration.ofMillis(298));
  }

  @Test
  public void testDelayIsExcessOverUsualTime() {
    final ConnectTimes.Connect first = connects.begin("pool", "i-1");
    final ConnectTimes.Connect second = connects.begin("pool", "i-2");
    time.run(Duration.ofMillis(60));
    first.opened();
    time.run(Duration.ofMillis(30));
    second.opened();
    connects.recordReceived("pool");
    assertEquals(connects.usual(), Duration.ofMillis(2));
    assertEquals(connects.currentDelay(), Duration.ofMillis(58));
    time.run(Duration.ofSeconds(1));
    connects.recordReceived("pool");
    assertEquals(connects.currentDelay(), Duration.ZERO, "nothing is measured while idle");
  }

  @Test
  public void testAbandonedConnectShowsNothing() {
    connects.begin("pool", "i-1").abandoned();
    ConnectTimes.Connect slow = connects.begin("pool", "i-2");
    time.run(Duration.ofMillis(200));
    connects.recordReceived("pool");
    slow.opened();
    slow.timedOut();
    assertEquals(connects.currentDelay(), Duration.ZERO);
  }
}
