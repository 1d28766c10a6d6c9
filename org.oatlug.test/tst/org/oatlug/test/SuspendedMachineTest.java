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
import org.oatlug.internal.util.PauseDetector;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that the clock of an instance counts the time for which its host is suspended.
 *
 * <p>The monotonic clock of the operating system stops during a suspension. An instance that uses
 * it alone takes everything it knows for younger than it is, until the process ends: after a
 * suspension of ten seconds, a contact with the store from eleven seconds ago counts as one second
 * old. Pause detection that compares that clock with itself does not notice the suspension.
 */
public class SuspendedMachineTest {
  private static final Duration SUSPENSION = Duration.ofSeconds(10);
  private static final Duration SECOND = Duration.ofSeconds(1);

  private long steadyNanos;
  private Instant timeOfDay;
  private Optional<Duration> sinceBoot;
  private MonotonicClock clock;

  @BeforeMethod
  void start() {
    steadyNanos = 77;
    timeOfDay = Instant.parse("2026-12-02T12:00:00Z");
    sinceBoot = Optional.of(Duration.ofDays(3));
    clock = MonotonicClock.of(() -> steadyNanos, () -> timeOfDay, () -> sinceBoot);
  }

  private void advance(Duration time) {
    steadyNanos += time.toNanos();
    suspend(time);
  }

  private void suspend(Duration time) {
    timeOfDay = timeOfDay.plus(time);
    sinceBoot = sinceBoot.map(before -> before.plus(time));
  }

  private Duration elapsedDuring(Runnable event) {
    Instant before = clock.instant();
    event.run();
    advance(SECOND);
    return Duration.between(before, clock.instant());
  }

  @Test
  public void testSuspensionIsCounted() {
    assertEquals(elapsedDuring(() -> suspend(SUSPENSION)), SUSPENSION.plus(SECOND));
    assertEquals(elapsedDuring(() -> {}), SECOND, "a suspension is counted once");
    assertEquals(
        elapsedDuring(() -> suspend(SUSPENSION)), SUSPENSION.plus(SECOND), "the second suspension");
  }

  @Test
  public void testContactWithStoreAgesDuringSuspension() {
    AtomicInteger pauses = new AtomicInteger();
    final PauseDetector detector = PauseDetector.create(clock, pauses::incrementAndGet);
    Freshness freshness = Freshness.withBound(Duration.ofSeconds(5));
    freshness.recordContact(Duration.ZERO, clock.instant());
    suspend(SUSPENSION);
    advance(Duration.ofMillis(100));
    detector.check();
    assertEquals(pauses.get(), 1);
    Duration age = freshness.age(clock.instant()).orElseThrow();
    assertTrue(age.compareTo(SUSPENSION) >= 0, "the contact is " + age + " old");
  }

  @Test
  public void testChangeOfTimeOfDayIsNotCounted() {
    assertEquals(elapsedDuring(() -> timeOfDay = timeOfDay.plusSeconds(3600)), SECOND);
    assertEquals(elapsedDuring(() -> timeOfDay = timeOfDay.minusSeconds(7200)), SECOND);
  }

  @Test
  public void testSuspensionIsCountedAfterTimeOfDayWasSet() {
    elapsedDuring(() -> timeOfDay = timeOfDay.minusSeconds(7200));
    assertEquals(elapsedDuring(() -> suspend(SUSPENSION)), SUSPENSION.plus(SECOND));
  }

  @Test
  public void testImplausibleTimeSinceBootIsIgnored() {
    assertEquals(elapsedDuring(() -> sinceBoot = Optional.of(Duration.ofDays(9))), SECOND);
    assertEquals(elapsedDuring(() -> sinceBoot = Optional.empty()), SECOND);
    assertEquals(elapsedDuring(() -> timeOfDay = timeOfDay.plusSeconds(5)), SECOND);
  }

  @Test
  public void testClockNeverGoesBackwards() {
    Instant last = clock.instant();
    for (int round = 0; round < 200; round++) {
      advance(Duration.ofMillis(round));
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
