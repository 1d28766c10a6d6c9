// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.crash;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.oatlug.internal.crash.CrashLedger.Verdict;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What is held against a request under which upstreams ended, and for how long. */
public class CrashLedgerTest {
  private static final String GUILTY = fingerprint("guilty");
  private static final Duration RUN = Duration.ofMillis(50);

  private VirtualTime time;
  private CrashLedger ledger;

  @BeforeMethod
  void begin() {
    time = new VirtualTime();
    ledger = CrashLedger.create(time);
  }

  private static String fingerprint(String body) {
    return RequestFingerprint.of("host", "/", "", body.getBytes(StandardCharsets.UTF_8));
  }

  private void endsUnder(CrashLedger seer, String request, String process) {
    Instant began = time.instant();
    time.run(RUN);
    seer.upstreamEnded(request, "", process, began, time.instant());
  }

  private void endsUnder(String request, int count) {
    for (int number = 0; number < count; number++) {
      endsUnder(ledger, request, "i-" + number);
    }
  }

  private static void tell(CrashLedger from, CrashLedger to) {
    to.merge(from.after(0).records(), "another");
  }

  @Test
  public void testThreeEndsInTurnAreTooMany() {
    endsUnder(GUILTY, 1);
    assertEquals(ledger.verdict(GUILTY), Verdict.CLEAR);
    assertTrue(ledger.isSuspectAfter(GUILTY, "i-1"), "one more would be the second");
    endsUnder(GUILTY, 2);
    assertEquals(ledger.verdict(GUILTY), Verdict.SUSPECT);
    endsUnder(GUILTY, 3);
    assertEquals(ledger.verdict(GUILTY), Verdict.REFUSED);
    assertEquals(ledger.ended(GUILTY), List.of("i-0", "i-1", "i-2"));
  }

  @Test
  public void testEndsAtTheSameMomentCountOnce() {
    Instant began = time.instant();
    time.run(RUN);
    for (int number = 0; number < 6; number++) {
      ledger.upstreamEnded(GUILTY, "", "i-" + number, began, time.instant());
    }
    assertEquals(ledger.verdict(GUILTY), Verdict.SUSPECT);
  }

  @Test
  public void testOneStartCountsOnceHoweverOftenItIsTold() {
    for (int round = 0; round < 5; round++) {
      endsUnder(ledger, GUILTY, "i-1");
      tell(ledger, ledger);
    }
    assertEquals(ledger.verdict(GUILTY), Verdict.CLEAR);
  }

  @Test
  public void testWholeAnswerVoidsWhatWasBefore() {
    endsUnder(GUILTY, 3);
    ledger.endedWell(GUILTY);
    assertEquals(ledger.verdict(GUILTY), Verdict.CLEAR);
    CrashLedger late = CrashLedger.create(time);
    tell(ledger, late);
    assertEquals(late.verdict(GUILTY), Verdict.CLEAR, "who is told of both");
  }

  /** An instance that saw it end well holds nothing of before against it that it hears later. */
  @Test
  public void testWholeAnswerVoidsWhatIsToldAfterwards() {
    CrashLedger other = CrashLedger.create(time);
    for (int number = 0; number < 3; number++) {
      endsUnder(other, GUILTY, "i-" + number);
    }
    ledger.endedWell(GUILTY);
    tell(other, ledger);
    assertEquals(ledger.verdict(GUILTY), Verdict.CLEAR);
    tell(ledger, other);
    assertEquals(other.verdict(GUILTY), Verdict.CLEAR);
  }

  @Test
  public void testRequestThatEndsUpstreamsAfterItEndedWellIsRefused() {
    ledger.endedWell(GUILTY);
    endsUnder(GUILTY, 3);
    assertEquals(ledger.verdict(GUILTY), Verdict.REFUSED);
  }

  @Test
  public void testOldEndsSpeakLess() {
    endsUnder(GUILTY, 3);
    Duration lapses = ledger.lapsesAfter(GUILTY);
    assertTrue(lapses.compareTo(CrashLedger.VALID) <= 0 && !lapses.isNegative());
    time.run(lapses.plusMillis(1));
    assertEquals(ledger.verdict(GUILTY), Verdict.SUSPECT);
    time.run(CrashLedger.VALID);
    assertEquals(ledger.verdict(GUILTY), Verdict.CLEAR);
    assertTrue(ledger.isEmpty());
  }

  @Test
  public void testNothingIsLeftOfWhatIsTooOldThoughNobodyAsksForIt() {
    endsUnder(GUILTY, 3);
    endsUnder(ledger, fingerprint("another"), "i-7");
    assertFalse(ledger.isEmpty());
    time.run(CrashLedger.VALID.plusMillis(1));
    assertTrue(ledger.isEmpty());
  }

  @Test
  public void testOperatorLetsItRunAgainEverywhere() {
    endsUnder(GUILTY, 3);
    CrashLedger other = CrashLedger.create(time);
    tell(ledger, other);
    assertEquals(other.verdict(GUILTY), Verdict.REFUSED);
    assertTrue(other.forget(GUILTY));
    assertFalse(other.forget(GUILTY), "nothing is left");
    tell(other, ledger);
    assertEquals(ledger.verdict(GUILTY), Verdict.CLEAR);
  }

  @Test
  public void testFloodOfRequestsDoesNotPushOutOneUnderWhichSeveralEnded() {
    endsUnder(GUILTY, 3);
    Instant now = time.instant();
    for (int number = 0; number < 3 * CrashLedger.MOST_REQUESTS; number++) {
      ledger.upstreamEnded(fingerprint("flood" + number), "", "i-9", now.minus(RUN), now);
    }
    assertEquals(ledger.verdict(GUILTY), Verdict.REFUSED);
    assertTrue(ledger.after(0).records().size() <= CrashLedger.MOST_REQUESTS);
  }

  @Test
  public void testOrderOfNewsDoesNotMatterAndNewsComeToRest() {
    for (long seed = 0; seed < 40; seed++) {
      Random random = new Random(seed);
      List<CrashLedger> ledgers = new ArrayList<>();
      for (int number = 0; number < 4; number++) {
        ledgers.add(CrashLedger.create(time));
      }
      String request = fingerprint("request" + seed);
      int ends = random.nextInt(2 * CrashLedger.MOST_RUNS);
      for (int number = 0; number < ends; number++) {
        endsUnder(ledgers.get(random.nextInt(4)), request, "i-" + number);
        if (random.nextInt(4) == 0) {
          ledgers.get(random.nextInt(4)).endedWell(request);
        }
      }
      for (int round = 0; round < 4; round++) {
        tellAll(ledgers, random);
      }
      List<Long> revisions = ledgers.stream().map(CrashLedger::revision).toList();
      tellAll(ledgers, random);
      assertEquals(ledgers.stream().map(CrashLedger::revision).toList(), revisions, "at rest");
      for (CrashLedger one : ledgers) {
        assertEquals(one.verdict(request), ledgers.get(0).verdict(request), "seed " + seed);
      }
    }
  }

  private static void tellAll(List<CrashLedger> ledgers, Random random) {
    List<CrashLedger> order = new ArrayList<>(ledgers);
    Collections.shuffle(order, random);
    order.forEach(from -> ledgers.forEach(to -> tell(from, to)));
  }

  @Test
  public void testUnsoundRecordsChangeNothing() {
    List<CrashRecord> unsound = new ArrayList<>();
    CrashRecord.EndedRun run = new CrashRecord.EndedRun("i-1", 10, 5);
    unsound.add(null);
    unsound.add(new CrashRecord("short", "", List.of(run), -1));
    unsound.add(new CrashRecord(GUILTY, null, List.of(run), -1));
    unsound.add(new CrashRecord(GUILTY, "x".repeat(1000), List.of(run), -1));
    unsound.add(new CrashRecord(GUILTY, "", null, -1));
    unsound.add(new CrashRecord(GUILTY, "", Collections.nCopies(100, run), -1));
    unsound.add(new CrashRecord(GUILTY, "", List.of(run), -2));
    unsound.add(new CrashRecord(GUILTY, "", List.of(new CrashRecord.EndedRun(null, 10, 5)), -1));
    unsound.add(new CrashRecord(GUILTY, "", List.of(new CrashRecord.EndedRun("i", 5, 10)), -1));
    unsound.add(
        new CrashRecord(GUILTY, "", List.of(new CrashRecord.EndedRun("i", Long.MAX_VALUE, 1)), 0));
    ledger.merge(unsound, "another");
    assertTrue(ledger.isEmpty());
  }

  @Test
  public void testFingerprintTellsWhatDiffersAndNothingElse() {
    byte[] body = {1, 2};
    String one = RequestFingerprint.of("a", "/b", "c", body);
    assertEquals(RequestFingerprint.of("a", "/b", "c", body), one);
    assertEquals(one.length(), RequestFingerprint.LENGTH);
    assertNotEquals(RequestFingerprint.of("a/", "b", "c", body), one);
    assertNotEquals(RequestFingerprint.of("a", "/b", "d", body), one);
    assertNotEquals(RequestFingerprint.of("a", "/b", "c", new byte[] {1}), one);
    assertNotEquals(RequestFingerprint.of("a", "/bc", "", body), one);
  }
}
