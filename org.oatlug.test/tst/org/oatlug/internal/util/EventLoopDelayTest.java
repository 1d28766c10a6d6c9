// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests the measurement of event-loop lag, and which timeouts are evidence.
 *
 * <p>Guards against an instance that takes one long iteration for overload, or its own lag for the
 * failure of upstreams.
 */
public class EventLoopDelayTest {
  private static final Duration TIMEOUT = Duration.ofMillis(400);

  private VirtualTime time;
  private Deque<Runnable> tasks;
  private EventLoopDelay delay;
  private Meters meters;
  private TimeoutEvidence timeouts;

  @BeforeMethod
  void setUp() {
    time = new VirtualTime();
    tasks = new ArrayDeque<>();
    delay = EventLoopDelay.create(time, tasks::add, sample -> {});
    meters = Meters.of(new MetricRegistry());
    timeouts = TimeoutEvidence.create(delay, ConnectTimes.create(time), time, meters);
  }

  /** Submits a probe unless one is pending, and lets the event loop run it after this time. */
  private void sample(int millis) {
    delay.probe();
    time.run(Duration.ofMillis(millis));
    tasks.remove().run();
  }

  /** Takes a sample and lets the event loop run the probe that follows it without delay. */
  private void sampleAndRecover(int millis) {
    sample(millis);
    while (!tasks.isEmpty()) {
      tasks.remove().run();
    }
  }

  private long minimumMillis() {
    return delay.minimumDelay(time.instant()).toMillis();
  }

  @Test
  public void testMinimumIgnoresOneLongIteration() {
    sample(2);
    sample(150);
    assertEquals(minimumMillis(), 2, "one long iteration");
    sample(90);
    assertEquals(minimumMillis(), 90, "the short one is older than 200 ms");
    sample(600);
    assertEquals(minimumMillis(), 600, "the process was paused");
    sample(3);
    assertEquals(minimumMillis(), 3, "the next iteration ends it");
    time.run(Duration.ofSeconds(1));
    assertEquals(minimumMillis(), 0, "nothing is measured while idle");
  }

  @Test
  public void testPendingProbeCountsWithItsAge() {
    delay.probe();
    delay.probe();
    assertEquals(tasks.size(), 1, "one probe at a time");
    time.run(Duration.ofMillis(199));
    assertEquals(minimumMillis(), 0);
    time.run(Duration.ofMillis(1));
    assertEquals(minimumMillis(), 200);
    assertEquals(delay.maximumSince(time.instant()), Duration.ofMillis(200));
    tasks.remove().run();
  }

  @Test
  public void testMaximumIsThatSinceStartOfAttempt() {
    sampleAndRecover(300);
    time.run(Duration.ofMillis(1));
    final Instant startedAt = time.instant();
    sampleAndRecover(20);
    sampleAndRecover(70);
    sampleAndRecover(10);
    assertEquals(delay.maximumSince(startedAt), Duration.ofMillis(70));
    assertEquals(delay.maximumSince(Instant.EPOCH), Duration.ofMillis(300));
    time.run(Duration.ofSeconds(5));
    sampleAndRecover(1);
    assertEquals(delay.maximumSince(Instant.EPOCH), Duration.ofMillis(1), "older than 5 s");
  }

  /**
   * Guards against long iterations in which no connection arrives, and which look like idle time.
   */
  @Test
  public void testProbesFollowEachOtherDuringLag() {
    sample(300);
    assertEquals(tasks.size(), 1);
    time.run(Duration.ofMillis(250));
    assertEquals(minimumMillis(), 250);
    tasks.remove().run();
    sample(19);
    assertEquals(tasks.size(), 0, "nothing is measured once the lag has ended");
  }

  @Test
  public void testConnectTimeoutDuringLagIsNoEvidence() {
    Throwable timeout = new ConnectTimeoutException();
    Instant startedAt = time.instant();
    sampleAndRecover(99);
    time.run(TIMEOUT.minusMillis(99));
    assertTrue(timeouts.counts(timeout, startedAt, TIMEOUT), "lag below a quarter");
    startedAt = time.instant();
    sampleAndRecover(100);
    time.run(TIMEOUT.minusMillis(100));
    assertFalse(timeouts.counts(timeout, startedAt, TIMEOUT), "lag of a quarter");
    assertTrue(timeouts.counts(new ConnectException(), startedAt, TIMEOUT), "refused");
    startedAt = time.instant();
    time.run(TIMEOUT.plusMillis(100));
    assertFalse(timeouts.counts(timeout, startedAt, TIMEOUT), "the timer itself is late");
    assertEquals(meters.registry().counter("timeout.own-delay").getCount(), 2);
  }

  private static void runUntil(Future<?> end, int steps, Executor loop, Promise<Boolean> outcome) {
    if (end.isComplete() || steps == 0) {
      outcome.complete(end.isComplete());
    } else {
      loop.execute(() -> runUntil(end, steps - 1, loop, outcome));
    }
  }

  /** Guards against queues of the event loop whose actions all run before any connection opens. */
  @Test
  public void testConnectionsOpenBetweenIterations() throws Exception {
    Vertx vertx = Vertx.vertx();
    try (ServerSocket server = new ServerSocket(0)) {
      Promise<Boolean> outcome = Promise.promise();
      vertx.runOnContext(
          unused -> {
            Future<?> opened = vertx.createNetClient().connect(server.getLocalPort(), "127.0.0.1");
            runUntil(opened, 100_000, NextIteration.of(vertx), outcome);
          });
      assertTrue(outcome.future().toCompletionStage().toCompletableFuture().get(20, SECONDS));
    } finally {
      vertx.close();
    }
  }
}
