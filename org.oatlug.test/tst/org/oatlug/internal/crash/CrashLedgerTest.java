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
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.oatlug.internal.crash.CrashLedger.Verdict;
import org.oatlug.test.VirtualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the verdicts on requests that crash upstreams, and when they expire. */
public class CrashLedgerTest {
  private static final String CRASHING = fingerprint("guilty");
  private static final Duration RUN = Duration.ofMillis(50);
  private static final Duration MESSAGE_DELAY = Duration.ofMillis(10);

  private VirtualTime time;
  private CrashLedger ledger;

  @BeforeMethod
  void setUp() {
    time = new VirtualTime();
    ledger = CrashLedger.create(time);
  }

  private static String fingerprint(String body) {
    return RequestFingerprint.of("host", "/", "", body.getBytes(StandardCharsets.UTF_8));
  }

  private void crashUpstream(CrashLedger observer, String request, String process) {
    Instant began = time.instant();
    time.run(RUN);
    observer.recordCrash(request, "", process, began, time.instant());
  }

  private void crashUpstream(String request, int count) {
    for (int number = 0; number < count; number++) {
      crashUpstream(ledger, request, "i-" + number);
    }
  }

  private static void replicate(CrashLedger from, CrashLedger to) {
    to.merge(from.after(0).records(), "another");
  }

  @Test
  public void testRequestIsRefusedAfterThreeConsecutiveCrashes() {
    crashUpstream(CRASHING, 1);
    assertEquals(ledger.verdict(CRASHING), Verdict.CLEAR);
    assertTrue(ledger.wouldBeSuspect(CRASHING, "i-1"), "the next crash would be the second");
    crashUpstream(CRASHING, 2);
    assertEquals(ledger.verdict(CRASHING), Verdict.SUSPECT);
    crashUpstream(CRASHING, 3);
    assertEquals(ledger.verdict(CRASHING), Verdict.REFUSED);
    assertEquals(ledger.crashedProcesses(CRASHING), List.of("i-0", "i-1", "i-2"));
  }

  /** Guards against two crashes in turn that count as one where their messages were delayed. */
  @Test
  public void testCrashesInMessagesOfDifferentDelayAreConsecutive() {
    CrashLedger receiver = CrashLedger.create(time);
    for (int number = 0; number < 3; number++) {
      final Instant began = time.instant();
      List<CrashRecord> delayed = ledger.after(0).records();
      time.run(MESSAGE_DELAY);
      receiver.merge(delayed, "another");
      time.run(RUN.minus(MESSAGE_DELAY));
      ledger.recordCrash(CRASHING, "", "i-" + number, began, time.instant());
    }
    replicate(ledger, receiver);
    assertEquals(ledger.verdict(CRASHING), Verdict.REFUSED);
    assertEquals(receiver.verdict(CRASHING), Verdict.REFUSED);
  }

  /** Upstreams that crash together for another reason do not get a request refused. */
  @Test
  public void testSimultaneousCrashesAreNotConsecutive() {
    Instant began = time.instant();
    time.run(RUN);
    for (int number = 0; number < 6; number++) {
      ledger.recordCrash(CRASHING, "", "i-" + number, began, time.instant());
    }
    assertEquals(ledger.verdict(CRASHING), Verdict.SUSPECT);
  }

  @Test
  public void testUpstreamProcessCountsOnceHoweverOftenReported() {
    for (int round = 0; round < 5; round++) {
      crashUpstream(ledger, CRASHING, "i-1");
      replicate(ledger, ledger);
    }
    assertEquals(ledger.verdict(CRASHING), Verdict.CLEAR);
  }

  @Test
  public void testCompleteResponseClearsEarlierCrashes() {
    crashUpstream(CRASHING, 3);
    ledger.recordSuccess(CRASHING);
    assertEquals(ledger.verdict(CRASHING), Verdict.CLEAR);
    CrashLedger late = CrashLedger.create(time);
    replicate(ledger, late);
    assertEquals(late.verdict(CRASHING), Verdict.CLEAR, "an instance that receives both");
  }

  /** An instance that saw the request complete ignores earlier crashes reported afterwards. */
  @Test
  public void testCompleteResponseClearsCrashesReportedLater() {
    CrashLedger peer = CrashLedger.create(time);
    for (int number = 0; number < 3; number++) {
      crashUpstream(peer, CRASHING, "i-" + number);
    }
    ledger.recordSuccess(CRASHING);
    replicate(peer, ledger);
    assertEquals(ledger.verdict(CRASHING), Verdict.CLEAR);
    replicate(ledger, peer);
    assertEquals(peer.verdict(CRASHING), Verdict.CLEAR);
  }

  @Test
  public void testRequestThatCrashesUpstreamsAfterItCompletedIsRefused() {
    ledger.recordSuccess(CRASHING);
    crashUpstream(CRASHING, 3);
    assertEquals(ledger.verdict(CRASHING), Verdict.REFUSED);
  }

  @Test
  public void testCrashesExpire() {
    crashUpstream(CRASHING, 3);
    Duration remaining = ledger.timeUntilExpiry(CRASHING);
    assertTrue(remaining.compareTo(CrashLedger.VALIDITY) <= 0 && !remaining.isNegative());
    time.run(remaining.plusMillis(1));
    assertEquals(ledger.verdict(CRASHING), Verdict.SUSPECT);
    time.run(CrashLedger.VALIDITY);
    assertEquals(ledger.verdict(CRASHING), Verdict.CLEAR);
    assertTrue(ledger.isEmpty());
  }

  @Test
  public void testExpiredCrashesAreRemovedWithoutLookup() {
    crashUpstream(CRASHING, 3);
    crashUpstream(ledger, fingerprint("another"), "i-7");
    assertFalse(ledger.isEmpty());
    time.run(CrashLedger.VALIDITY.plusMillis(1));
    assertTrue(ledger.isEmpty());
  }

  @Test
  public void testOperatorClearsRequestOnAllInstances() {
    crashUpstream(CRASHING, 3);
    CrashLedger peer = CrashLedger.create(time);
    replicate(ledger, peer);
    assertEquals(peer.verdict(CRASHING), Verdict.REFUSED);
    assertTrue(peer.clear(CRASHING));
    assertFalse(peer.clear(CRASHING), "already cleared");
    replicate(peer, ledger);
    assertEquals(ledger.verdict(CRASHING), Verdict.CLEAR);
  }

  @Test
  public void testFloodOfRequestsDoesNotEvictRequestWithSeveralCrashes() {
    crashUpstream(CRASHING, 3);
    Instant now = time.instant();
    for (int number = 0; number < 3 * CrashLedger.MAXIMUM_KEYS; number++) {
      ledger.recordCrash(fingerprint("flood" + number), "", "i-9", now.minus(RUN), now);
    }
    assertEquals(ledger.verdict(CRASHING), Verdict.REFUSED);
    assertTrue(ledger.after(0).records().size() <= CrashLedger.MAXIMUM_KEYS);
  }

  @Test
  public void testMergeOrderDoesNotMatterAndReplicationConverges() {
    for (long seed = 0; seed < 40; seed++) {
      Random random = new Random(seed);
      List<CrashLedger> ledgers = new ArrayList<>();
      for (int number = 0; number < 4; number++) {
        ledgers.add(CrashLedger.create(time));
      }
      String request = fingerprint("request" + seed);
      int crashes = random.nextInt(2 * CrashLedger.MAXIMUM_RUNS);
      for (int number = 0; number < crashes; number++) {
        crashUpstream(ledgers.get(random.nextInt(4)), request, "i-" + number);
        if (random.nextInt(4) == 0) {
          ledgers.get(random.nextInt(4)).recordSuccess(request);
        }
      }
      for (int round = 0; round < 4; round++) {
        replicateAll(ledgers, random);
      }
      List<Long> revisions = ledgers.stream().map(CrashLedger::revision).toList();
      replicateAll(ledgers, random);
      assertEquals(
          ledgers.stream().map(CrashLedger::revision).toList(),
          revisions,
          "revisions after convergence");
      for (CrashLedger replica : ledgers) {
        assertEquals(replica.verdict(request), ledgers.get(0).verdict(request), "seed " + seed);
      }
    }
  }

  private static void replicateAll(List<CrashLedger> ledgers, Random random) {
    List<CrashLedger> order = new ArrayList<>(ledgers);
    Collections.shuffle(order, random);
    order.forEach(from -> ledgers.forEach(to -> replicate(from, to)));
  }

  @Test
  public void testInvalidRecordsAreIgnored() {
    List<CrashRecord> invalid = new ArrayList<>();
    CrashRecord.CrashedRun run = new CrashRecord.CrashedRun("i-1", 10, 5, Set.of());
    invalid.add(null);
    invalid.add(new CrashRecord("short", "", List.of(run), -1, null));
    invalid.add(new CrashRecord(CRASHING, null, List.of(run), -1, null));
    invalid.add(new CrashRecord(CRASHING, "x".repeat(1000), List.of(run), -1, null));
    invalid.add(new CrashRecord(CRASHING, "", null, -1, null));
    invalid.add(new CrashRecord(CRASHING, "", Collections.nCopies(100, run), -1, null));
    invalid.add(new CrashRecord(CRASHING, "", List.of(run), -2, null));
    invalid.add(
        new CrashRecord(
            CRASHING, "", List.of(new CrashRecord.CrashedRun(null, 10, 5, Set.of())), -1, null));
    invalid.add(
        new CrashRecord(
            CRASHING, "", List.of(new CrashRecord.CrashedRun("i", 5, 10, Set.of())), -1, null));
    invalid.add(
        new CrashRecord(
            CRASHING,
            "",
            List.of(new CrashRecord.CrashedRun("i", Long.MAX_VALUE, 1, Set.of())),
            0,
            null));
    invalid.add(new CrashRecord(CRASHING, "", List.of(), -1, 1L));
    invalid.add(new CrashRecord(RequestFingerprint.ofPart(1), "", List.of(), -1, -1L));
    ledger.merge(invalid, "another");
    assertTrue(ledger.isEmpty());
  }

  private static final String PART = RequestFingerprint.ofPart(0xdead01);
  private static final String COMMON_PART = RequestFingerprint.ofPart(0xa1);

  private static CrashKeys keysWith(String body, String... parts) {
    return new CrashKeys(fingerprint(body), List.of(parts));
  }

  /** Crashes an upstream under a new request with the part and the common one. */
  private void crashUnderPart(CrashLedger observer, int number) {
    Instant began = time.instant();
    time.run(RUN);
    for (String key : keysWith("new" + number, COMMON_PART, PART).all()) {
      observer.recordCrash(key, "", "i-" + number, began, time.instant());
    }
  }

  private Verdict verdictOfNew(CrashLedger observer, String... parts) {
    return observer.assess(keysWith("yet another", parts)).verdict();
  }

  @Test
  public void testOnlyRequestsWithAllPartsThatExplainTheCrashesAreRefused() {
    for (int number = 0; number < 3; number++) {
      crashUnderPart(ledger, number);
    }
    assertEquals(verdictOfNew(ledger, COMMON_PART, PART), Verdict.REFUSED);
    assertEquals(verdictOfNew(ledger, COMMON_PART), Verdict.CLEAR);
    ledger.recordSuccess(COMMON_PART);
    assertEquals(verdictOfNew(ledger, COMMON_PART), Verdict.CLEAR);
    assertEquals(verdictOfNew(ledger, PART), Verdict.REFUSED);
  }

  @Test
  public void testConvictedPartIsReplicatedAndDoesNotExpire() {
    for (int number = 0; number < 3; number++) {
      crashUnderPart(ledger, number);
    }
    ledger.recordSuccess(COMMON_PART);
    assertEquals(verdictOfNew(ledger, PART), Verdict.REFUSED);
    time.run(CrashLedger.VALIDITY.multipliedBy(3));
    CrashLedger started = CrashLedger.create(time);
    replicate(ledger, started);
    assertEquals(verdictOfNew(started, PART), Verdict.REFUSED);
    assertEquals(started.timeUntilRelease(PART), Optional.empty());
    assertTrue(started.clear(PART));
    replicate(started, ledger);
    assertEquals(verdictOfNew(ledger, PART), Verdict.CLEAR);
  }

  /** Guards against suspicion of a rare part that was only open beside a convicted one. */
  @Test
  public void testCrashesOfConvictedPartDoNotCountAgainstOthers() {
    String rarePart = RequestFingerprint.ofPart(0xb2);
    for (int number = 0; number < 3; number++) {
      crashUnderPart(ledger, number);
      ledger.recordSuccess(COMMON_PART);
    }
    assertEquals(verdictOfNew(ledger, PART), Verdict.REFUSED);
    for (int number = 0; number < 3; number++) {
      crashUpstream(ledger, PART, "j-" + number);
      crashUpstream(ledger, rarePart, "j-" + number);
    }
    assertEquals(verdictOfNew(ledger, rarePart), Verdict.CLEAR);
    assertEquals(verdictOfNew(ledger, PART), Verdict.REFUSED);
  }

  /** A response that completes at one instance clears the part at all others. */
  @Test
  public void testCompletedPartIsClearedAtOtherInstances() {
    for (int number = 0; number < 3; number++) {
      crashUpstream(ledger, PART, "i-" + number);
    }
    CrashLedger peer = CrashLedger.create(time);
    replicate(ledger, peer);
    assertEquals(verdictOfNew(ledger, PART), Verdict.REFUSED);
    assertEquals(verdictOfNew(peer, PART), Verdict.REFUSED);
    peer.recordSuccess(PART);
    replicate(peer, ledger);
    assertEquals(verdictOfNew(ledger, PART), Verdict.CLEAR);
    replicate(ledger, peer);
    assertEquals(verdictOfNew(peer, PART), Verdict.CLEAR);
  }

  @Test
  public void testRetryIsBlockedOnceUnprovenPartHasCrash() {
    CrashKeys second = keysWith("second", COMMON_PART, PART);
    ledger.recordSuccess(COMMON_PART);
    crashUnderPart(ledger, 0);
    assertTrue(ledger.blocksRetry(second, "i-1"));
    assertFalse(ledger.blocksRetry(second, "i-0"), "the same crash");
    assertFalse(ledger.blocksRetry(keysWith("third", COMMON_PART), "i-1"), "it has completed");
  }

  @Test
  public void testFloodOfConvictedPartsIsBounded() {
    for (int number = 0; number < 2 * CrashLedger.MAXIMUM_KEYS; number++) {
      CrashRecord convicted =
          new CrashRecord(RequestFingerprint.ofPart(number), "", List.of(), CrashRecord.NEVER, 1L);
      ledger.merge(List.of(convicted), "another");
    }
    assertEquals(ledger.restrictedRequests().size(), CrashLedger.MAXIMUM_KEYS);
  }

  @Test
  public void testFingerprintDiffersOnlyByCoveredFields() {
    byte[] body = {1, 2};
    String fingerprint = RequestFingerprint.of("a", "/b", "c", body);
    assertEquals(RequestFingerprint.of("a", "/b", "c", body), fingerprint);
    assertEquals(fingerprint.length(), RequestFingerprint.LENGTH);
    assertNotEquals(RequestFingerprint.of("a/", "b", "c", body), fingerprint);
    assertNotEquals(RequestFingerprint.of("a", "/b", "d", body), fingerprint);
    assertNotEquals(RequestFingerprint.of("a", "/b", "c", new byte[] {1}), fingerprint);
    assertNotEquals(RequestFingerprint.of("a", "/bc", "", body), fingerprint);
  }
}
