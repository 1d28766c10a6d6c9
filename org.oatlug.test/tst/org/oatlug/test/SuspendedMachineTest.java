// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.oatlug.internal.table.Freshness;
import org.oatlug.internal.util.MonotonicClock;
import org.oatlug.internal.util.PauseWatch;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A machine is suspended for some seconds. Its steady clock does not count them, so everything that
 * the instance knew seemed as young after them as before: with ten seconds lost, a contact with the
 * store that was eleven seconds old counted as one second old, and the watch over pauses, which
 * compares that clock with itself, saw none. That held until the process ended.
 */
public class SuspendedMachineTest {
  private static final Duration SUSPENDED = Duration.ofSeconds(10);
  private static final Duration SECOND = Duration.ofSeconds(1);

  private long steadyNanos;
  private Instant timeOfDay;
  private Optional<Duration> sinceBoot;
  private MonotonicClock clock;

  @BeforeMethod
  void begin() {
    steadyNanos = 77;
    timeOfDay = Instant.parse("2026-12-02T12:00:00Z");
    sinceBoot = Optional.of(Duration.ofDays(3));
    clock = MonotonicClock.of(() -> steadyNanos, () -> timeOfDay, () -> sinceBoot);
  }

  private void run(Duration time) {
    steadyNanos += time.toNanos();
    suspend(time);
  }

  private void suspend(Duration time) {
    timeOfDay = timeOfDay.plus(time);
    sinceBoot = sinceBoot.map(before -> before.plus(time));
  }

  private Duration shown(Runnable whatHappens) {
    Instant before = clock.instant();
    whatHappens.run();
    run(SECOND);
    return Duration.between(before, clock.instant());
  }

  @Test
  public void testSuspensionCounts() {
    assertEquals(shown(() -> suspend(SUSPENDED)), SUSPENDED.plus(SECOND));
    assertEquals(shown(() -> {}), SECOND, "it counts once");
    assertEquals(shown(() -> suspend(SUSPENDED)), SUSPENDED.plus(SECOND), "a second one");
  }

  @Test
  public void testWhatWasKnownBeforeIsOldAfterwards() {
    AtomicInteger pauses = new AtomicInteger();
    final PauseWatch watch = PauseWatch.create(clock, pauses::incrementAndGet);
    Freshness freshness = Freshness.withBound(Duration.ofSeconds(5));
    freshness.learn(Duration.ZERO, clock.instant());
    suspend(SUSPENDED);
    run(Duration.ofMillis(100));
    watch.check();
    assertEquals(pauses.get(), 1);
    Duration age = freshness.age(clock.instant()).orElseThrow();
    assertTrue(age.compareTo(SUSPENDED) >= 0, "the contact seems " + age + " old");
  }

  @Test
  public void testTimeOfDayThatIsSetDoesNotCount() {
    assertEquals(shown(() -> timeOfDay = timeOfDay.plusSeconds(3600)), SECOND);
    assertEquals(shown(() -> timeOfDay = timeOfDay.minusSeconds(7200)), SECOND);
  }

  @Test
  public void testSuspensionCountsBesideTimeOfDayThatWasSetBefore() {
    shown(() -> timeOfDay = timeOfDay.minusSeconds(7200));
    assertEquals(shown(() -> suspend(SUSPENDED)), SUSPENDED.plus(SECOND));
  }

  @Test
  public void testTimeSinceBootThatMeansSomethingElseIsNotBelieved() {
    assertEquals(shown(() -> sinceBoot = Optional.of(Duration.ofDays(9))), SECOND);
    assertEquals(shown(() -> sinceBoot = Optional.empty()), SECOND);
    assertEquals(shown(() -> timeOfDay = timeOfDay.plusSeconds(5)), SECOND);
  }

  @Test
  public void testClockNeverRunsBack() {
    Instant last = clock.instant();
    for (int round = 0; round < 200; round++) {
      run(Duration.ofMillis(round));
      if (round % 7 == 0) {
        suspend(Duration.ofMillis(400L * round));
      }
      timeOfDay = timeOfDay.plusSeconds(round % 11 == 0 ? -round : 0);
      Instant now = clock.instant();
      assertTrue(!now.isBefore(last));
      last = now;
    }
  }
}
