// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.oatlug.internal.billing.Bill;
import org.oatlug.internal.ledger.LedgerEntry;
import org.oatlug.internal.ledger.LedgerReader;
import org.oatlug.internal.ledger.LedgerResult;
import org.oatlug.internal.ledger.Shard;

/**
 * Verifies the guarantees of the ledger with several writers of one shard that pause, crash, race
 * and lose replies: a key is granted to only one attempt, and an id is billed only once.
 */
class ShardTest {
  private static final String SEED = "20261202";
  private static final Duration TICK = Duration.ofMillis(50);
  private static final long START = new FakeClock().instant().toEpochMilli();
  private static final int WRITERS = 3;
  private static final int KEYS = 4;
  private static final int STEPS = 200;

  /** Small, so that heads fill up and their entries move to segments within a few writes. */
  private static final int MAXIMUM_HEAD_BYTES = 1500;

  private final FakeClock clock = new FakeClock();

  private Shard writer(FakePlatform platform) {
    Shard.Options options =
        new Shard.Options(Duration.ofHours(24), TICK, Duration.ofSeconds(2), MAXIMUM_HEAD_BYTES);
    return Shard.create("bills-0", platform, clock, options, new MetricRegistry());
  }

  private LedgerEntry.Claim claim(String key, String attempt) {
    long nowMillis = clock.instant().toEpochMilli();
    return new LedgerEntry.Claim(key, attempt, "fingerprint", "process@1", nowMillis);
  }

  private static LedgerEntry.Outcome outcome(String key, String attempt) {
    return new LedgerEntry.Outcome(
        key, attempt, LedgerEntry.Outcome.Kind.ANSWERED, 200, "text/plain", "answer");
  }

  private LedgerResult.Kind submit(Shard shard, LedgerEntry entry) {
    List<LedgerResult> results = new ArrayList<>();
    shard.submit(entry).subscribe().with(results::add, failure -> {});
    for (int tick = 0; tick < 4 && results.isEmpty(); tick++) {
      clock.advance(TICK);
      shard.tick();
    }
    return results.get(0).kind();
  }

  /** A writer with stale state must not return results from it. */
  @Example
  void testWriterWithStaleStateSeesOutcomeOfAnotherWriter() {
    FakePlatform platform = FakePlatform.create();
    Shard first = writer(platform);
    Shard second = writer(platform);
    assertEquals(submit(first, claim("k", "a")), LedgerResult.Kind.GRANTED);
    assertEquals(submit(second, outcome("k", "a")), LedgerResult.Kind.RECORDED);
    assertEquals(submit(first, claim("k", "b")), LedgerResult.Kind.ENDED);
  }

  /** An outcome submitted to a writer that has not read the claim is not lost. */
  @Example
  void testOutcomeAtWriterWithStaleStateIsRecorded() {
    FakePlatform platform = FakePlatform.create();
    Shard first = writer(platform);
    Shard second = writer(platform);
    assertEquals(submit(first, claim("first", "x")), LedgerResult.Kind.GRANTED);
    assertEquals(submit(second, claim("k", "a")), LedgerResult.Kind.GRANTED);
    assertEquals(submit(first, outcome("k", "a")), LedgerResult.Kind.RECORDED);
    assertEquals(submit(second, claim("k", "b")), LedgerResult.Kind.ENDED);
  }

  /** A void that is recorded before its claim prevents the claim from being granted. */
  @Example
  void testVoidBeforeClaimPreventsGrant() {
    FakePlatform platform = FakePlatform.create();
    Shard first = writer(platform);
    assertEquals(submit(first, new LedgerEntry.Void("k", "a")), LedgerResult.Kind.RECORDED);
    assertEquals(submit(first, claim("k", "a")), LedgerResult.Kind.VOIDED);
    assertEquals(submit(first, claim("k", "b")), LedgerResult.Kind.GRANTED);
  }

  /** A claim older than the retention is refused and not treated as new. */
  @Example
  void testClaimOlderThanRetentionIsRefused() {
    FakePlatform platform = FakePlatform.create();
    LedgerEntry.Claim old = claim("k", "a");
    clock.advance(Duration.ofHours(25));
    assertEquals(submit(writer(platform), old), LedgerResult.Kind.EXPIRED);
  }

  /** A bill older than the retention of ids is refused and not recorded a second time. */
  @Example
  void testBillOlderThanRetentionIsRefused() {
    FakePlatform platform = FakePlatform.create();
    Shard shard = writer(platform);
    Bill bill = new Bill("r", "w", "v", 1, 1, 1, true, "process@1", START);
    assertEquals(submit(shard, new LedgerEntry.Billed(bill)), LedgerResult.Kind.RECORDED);
    assertEquals(submit(shard, new LedgerEntry.Billed(bill)), LedgerResult.Kind.ALREADY_RECORDED);
    clock.advance(Duration.ofHours(25));
    assertEquals(submit(shard, new LedgerEntry.Billed(bill)), LedgerResult.Kind.EXPIRED);
  }

  /** Under load for longer than the retention, the state of a writer stays bounded. */
  @Example
  void testWriterRemovesEntriesOlderThanRetention() {
    FakePlatform platform = FakePlatform.create();
    Shard shard = writer(platform);
    int maximumSize = 0;
    for (int hour = 0; hour < 60; hour++) {
      for (int number = 0; number < 20; number++) {
        String name = hour + "-" + number;
        long nowMillis = clock.instant().toEpochMilli();
        final Bill bill = new Bill(name, "w", "v", 1, 1, 1, true, "process@1", nowMillis);
        submit(shard, claim(name, "attempt-" + name));
        submit(shard, new LedgerEntry.Void("other", "void-" + name));
        submit(shard, new LedgerEntry.Binding("session-" + name, "v1"));
        submit(shard, new LedgerEntry.Billed(bill));
      }
      maximumSize = Math.max(maximumSize, shard.size());
      clock.advance(Duration.ofHours(1));
    }
    assertTrue(maximumSize <= 80 * 27, "entries kept: " + maximumSize);
    long old = clock.instant().minus(Duration.ofHours(2)).toEpochMilli();
    Bill again = new Bill("58-3", "w", "v", 1, 1, 1, true, "process@1", old);
    assertEquals(submit(shard, new LedgerEntry.Billed(again)), LedgerResult.Kind.ALREADY_RECORDED);
  }

  /** A head that references many segments does not make each write create another segment. */
  @Example
  void testWritesCreateFewSegmentsAlthoughHeadReferencesMany() {
    FakePlatform platform = FakePlatform.create();
    Shard shard = writer(platform);
    for (int number = 0; number < 300; number++) {
      submit(shard, claim("key-" + number, "attempt-" + number));
    }
    int objects = platform.list(List.of("ledger")).await().indefinitely().objects().size();
    assertTrue(objects < 100, objects + " objects for 300 claims");
  }

  @Property(seed = SEED)
  void testKeyIsGrantedToOneAttemptThatRuns(@ForAll Random random) {
    History history = new History(FakePlatform.create(), random);
    history.run();
    assertTrue(history.keyRunTwice().isEmpty(), "ran twice: " + history.keyRunTwice());
    assertFalse(history.billedTwice(), "an id is billed twice");
  }

  /** Without conditional updates the same histories run a key twice, so the check can detect it. */
  @Example
  void testWithoutConditionalUpdatesKeysRunTwice() {
    boolean seen = false;
    for (int seed = 0; seed < 100 && !seen; seed++) {
      History history = new History(FakePlatform.unconditional(), new Random(seed));
      history.run();
      seen = !history.keyRunTwice().isEmpty();
    }
    assertTrue(seen);
  }

  /** Random sequence of steps of callers, writers and the platform. */
  private final class History {
    private final FakePlatform platform;
    private final Random random;
    private final List<Shard> writers = new ArrayList<>();
    private final Map<String, Set<String>> runs = new HashMap<>();
    private final Set<String> abandonedAttempts = new HashSet<>();
    private int attempts;

    History(FakePlatform platform, Random random) {
      this.platform = platform;
      this.random = random;
      platform.deferCalls(true);
      for (int index = 0; index < WRITERS; index++) {
        writers.add(writer(platform));
      }
    }

    void run() {
      for (int step = 0; step < STEPS; step++) {
        step();
      }
      platform.deferCalls(false);
      platform.deliverAll();
    }

    private void step() {
      int index = random.nextInt(WRITERS);
      switch (random.nextInt(8)) {
        case 0 -> claimAt(writers.get(index));
        case 1 -> billAt(writers.get(index));
        case 2, 3 -> deliverOne(random.nextInt(5) == 0);
        case 4, 5 -> writers.get(index).tick();
        case 6 -> clock.advance(Duration.ofMillis(random.nextInt(400)));
        default -> crashRarely(index);
      }
    }

    private void claimAt(Shard shard) {
      String key = "key-" + random.nextInt(KEYS);
      String attempt = "attempt-" + attempts++;
      LedgerEntry.Claim entry = claim(key, attempt);
      shard
          .submit(entry)
          .subscribe()
          .with(result -> handleResult(shard, entry, result), failure -> abandon(shard, entry));
      if (random.nextInt(4) == 0) {
        Shard duplicateWriter = writers.get(random.nextInt(WRITERS));
        duplicateWriter
            .submit(entry)
            .subscribe()
            .with(result -> handleResult(shard, entry, result), failure -> {});
      }
    }

    private void handleResult(Shard shard, LedgerEntry.Claim claim, LedgerResult result) {
      boolean granted = result.kind() == LedgerResult.Kind.GRANTED;
      if (!granted || abandonedAttempts.contains(claim.attempt())) {
        return;
      }
      runs.computeIfAbsent(claim.key(), unused -> new HashSet<>()).add(claim.attempt());
      if (random.nextBoolean()) {
        LedgerEntry end = outcome(claim.key(), claim.attempt());
        shard.submit(end).subscribe().with(done -> {}, failure -> {});
      }
    }

    private void abandon(Shard shard, LedgerEntry.Claim claim) {
      Set<String> ran = runs.getOrDefault(claim.key(), Set.of());
      if (!ran.contains(claim.attempt())) {
        abandonedAttempts.add(claim.attempt());
        LedgerEntry voidEntry = new LedgerEntry.Void(claim.key(), claim.attempt());
        shard.submit(voidEntry).subscribe().with(done -> {}, failure -> {});
      }
    }

    private void billAt(Shard shard) {
      int amount = random.nextInt(100);
      long createdMillis = START;
      String id = "request-" + random.nextInt(KEYS);
      Bill bill = new Bill(id, "w", "v", 1, amount, amount, true, "process@1", createdMillis);
      LedgerEntry entry = new LedgerEntry.Billed(bill);
      shard.submit(entry).subscribe().with(done -> {}, failure -> {});
    }

    private void deliverOne(boolean replyLost) {
      if (platform.pending() > 0) {
        platform.deliver(random.nextInt(platform.pending()), replyLost);
      }
    }

    private void crashRarely(int index) {
      if (random.nextInt(10) == 0) {
        writers.set(index, writer(platform));
      }
    }

    Optional<String> keyRunTwice() {
      return runs.entrySet().stream()
          .filter(entry -> entry.getValue().size() > 1)
          .map(Map.Entry::getKey)
          .findFirst();
    }

    boolean billedTwice() {
      List<Bill> bills = LedgerReader.of(platform).bills(1).await().indefinitely();
      Set<String> ids = new HashSet<>();
      return bills.stream().anyMatch(bill -> !ids.add(bill.id()));
    }
  }
}
