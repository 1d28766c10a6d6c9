// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.oatlug.internal.limit.RefusalRecords.Refused;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks which callers gain from an earlier refusal, in virtual time. */
public class RefusalRecordsTest {
  private static final Duration DELAY = Duration.ofSeconds(2);

  private VirtualTime time;
  private int dropped;
  private RefusalRecords records;

  @BeforeMethod
  void createRecords() {
    time = new VirtualTime();
    dropped = 0;
    records = RefusalRecords.create(() -> dropped++);
  }

  private Instant refuse(long content) {
    return records.add(content, time.instant().plus(DELAY), time.instant());
  }

  private boolean use(long content) {
    return records.use(content, time.instant());
  }

  /** Guards against a gain of early retries, and of more than one retry. */
  @Test
  public void testRecordIsUsedOnceFromItsReturnTimeOn() {
    Instant returnAt = refuse(1);
    time.run(DELAY.minusMillis(1));
    assertFalse(use(1));
    assertEquals(refuse(1), returnAt, "the same time again");
    time.run(Duration.ofMillis(1));
    assertTrue(use(1));
    assertFalse(use(1));
    assertEquals(refuse(1), time.instant().plus(DELAY), "a new refusal");
    time.run(DELAY.plus(RefusalRecords.VALIDITY).plusMillis(1));
    assertFalse(use(1), "expired");
    assertTrue(records.isEmpty(time.instant()));
  }

  /** Guards against a caller that evicts the records of others by retrying at once. */
  @Test
  public void testEarlyRetriesEvictNoOtherRecord() {
    refuse(1);
    for (int count = 0; count < 1000; count++) {
      refuse(2);
    }
    assertEquals(dropped, 0);
    assertEquals(records.size(), 2);
    for (int count = 10; count < 1000; count++) {
      refuse(count);
    }
    assertEquals(records.newest(1, time.instant()).get(0).content(), 999);
    assertEquals(records.size(), RefusalRecords.MAXIMUM_OWN);
    assertEquals(dropped, 992 - RefusalRecords.MAXIMUM_OWN);
  }

  /** Guards against a second use of a record that is reported again, and of no later refusal. */
  @Test
  public void testReportedRecordIsUsedOnceUnlessRefusedAgain() {
    Instant now = time.instant();
    List<Refused> reported = List.of(new Refused(1, now, now.plus(DELAY)));
    records.applyReported(reported, now);
    assertFalse(use(1));
    time.run(DELAY);
    assertTrue(use(1));
    records.applyReported(reported, time.instant());
    assertFalse(use(1));
    time.run(Duration.ofMillis(1));
    Instant again = time.instant();
    records.applyReported(List.of(new Refused(1, again, again.plus(DELAY))), again);
    time.run(DELAY);
    assertTrue(use(1));
  }

  /** A caller of the simulation; the impatient ones retry three times as often and too early. */
  private final class Caller {
    private final long content;
    private final boolean impatient;
    private final Instant since = time.instant();
    private Urgency urgency;

    Caller(long content) {
      this.content = content;
      this.impatient = content % 4 == 0;
    }
  }

  /**
   * For 10 s, 60 callers arrive in a second at a service for 40; 20 of them may wait, the others
   * are refused and retry. Guards against a gain of those that retry at once. Six seeds, because
   * the means of one differ by up to 5% in either direction: an early retry may meet a free place
   * by chance, as a new request may.
   */
  @Test
  public void testImpatientCallersAreServedNoSooner() {
    double[] seconds = new double[2];
    for (int seed = 1; seed <= 6; seed++) {
      createRecords();
      int[] served = serve(RetryPacing.create(new Random(seed)), seconds);
      assertEquals(served, new int[] {450, 150}, "seed " + seed);
    }
    double patient = seconds[0] / (6 * 450);
    double impatient = seconds[1] / (6 * 150);
    assertTrue(impatient >= patient, impatient + " s, the others " + patient + " s");
  }

  /** Adds the seconds of patient and of impatient callers; returns the numbers of those served. */
  private int[] serve(RetryPacing pacing, double[] seconds) {
    List<Caller> waiting = new ArrayList<>();
    int[] served = new int[2];
    for (int number = 0; number < 600; number++) {
      long content = number;
      time.after(
          Duration.ofNanos(16_666_667L * number),
          () -> arrive(new Caller(content), waiting, pacing));
    }
    for (int number = 0; number < 640; number++) {
      time.run(Duration.ofMillis(25));
      Instant now = time.instant();
      waiting.stream()
          .min((left, right) -> Urgency.order(now).compare(left.urgency, right.urgency))
          .ifPresent(
              caller -> {
                waiting.remove(caller);
                pacing.recordRelease("", now);
                seconds[caller.impatient ? 1 : 0] +=
                    Duration.between(caller.since, now).toMillis() / 1000.0;
                served[caller.impatient ? 1 : 0]++;
              });
    }
    return served;
  }

  private void arrive(Caller caller, List<Caller> waiting, RetryPacing pacing) {
    Instant now = time.instant();
    boolean retry = use(caller.content);
    caller.urgency = new Urgency(1, false, retry, now.plusSeconds(2), now.plusSeconds(1));
    waiting.add(caller);
    if (waiting.size() > 20) {
      // As in the admission queue, a retry displaces the newest new request.
      Caller last = waiting.get(waiting.size() - 1);
      for (Caller other : waiting) {
        last = other.urgency.retry() ? last : other;
      }
      waiting.remove(last);
      sendBack(last, waiting, pacing);
    }
  }

  private void sendBack(Caller caller, List<Caller> waiting, RetryPacing pacing) {
    Instant now = time.instant();
    Duration left = Duration.ofSeconds(30);
    Instant returnAt =
        records
            .find(caller.content, now)
            .map(Refused::returnAt)
            .filter(now::isBefore)
            .orElseGet(() -> now.plus(pacing.assign("", Duration.ZERO, left, now).delay()));
    Duration delay = Duration.between(now, records.add(caller.content, returnAt, now));
    // At least 100 ms, the time that a caller needs to connect again.
    Duration impatient = Duration.ofMillis(Math.max(100, delay.toMillis() / 3));
    time.after(caller.impatient ? impatient : delay, () -> arrive(caller, waiting, pacing));
  }
}
