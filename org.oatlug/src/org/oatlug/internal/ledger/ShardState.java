// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.ledger;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.oatlug.internal.billing.Bill;

/**
 * In-memory state that results from the entries of one shard.
 *
 * <p>Invariants: the first claim of a key that is not voided takes precedence; a recorded outcome
 * never changes; a voided attempt is never granted; the first bill of an id takes precedence.
 * Applying an entry again changes nothing. Owned by one event loop, not thread-safe.
 */
final class ShardState {
  private final Duration retention;
  private final Map<String, ClaimRow> claims = new LinkedHashMap<>();
  private final Map<String, BindingRow> bindings = new LinkedHashMap<>();
  private final Map<String, Long> voided = new LinkedHashMap<>();
  private final BilledIds billed = new BilledIds();

  ShardState(Duration retention) {
    this.retention = retention;
  }

  private record ClaimRow(LedgerEntry.Claim claim, Optional<LedgerEntry.Outcome> outcome) {}

  private record BindingRow(String version, long insertedMillis) {}

  /** Result of applying an entry, and whether the entry changed the state. */
  record Applied(boolean changed, LedgerResult result) {
    private static Applied changed(LedgerResult.Kind kind) {
      return new Applied(true, LedgerResult.of(kind));
    }

    private static Applied unchanged(LedgerResult result) {
      return new Applied(false, result);
    }
  }

  Applied apply(LedgerEntry entry, long nowMillis) {
    if (entry instanceof LedgerEntry.Claim claim) {
      return claim(claim, nowMillis);
    } else if (entry instanceof LedgerEntry.Void voidEntry) {
      return voidAttempt(voidEntry, nowMillis);
    } else if (entry instanceof LedgerEntry.Outcome outcome) {
      return recordOutcome(outcome);
    } else if (entry instanceof LedgerEntry.Billed billEntry) {
      return addBill(billEntry.bill(), nowMillis);
    } else {
      return bind((LedgerEntry.Binding) entry, nowMillis);
    }
  }

  /** Returns the number of keys in memory. */
  int size() {
    return claims.size() + bindings.size() + voided.size() + billed.size();
  }

  /**
   * Removes rows older than the retention.
   *
   * <p>Rows are in insertion order, so only rows at the front are examined, up to the first that is
   * retained. Billed ids are removed by whole hours.
   */
  void removeExpired(long nowMillis) {
    long limit = nowMillis - retention.toMillis();
    removeLeading(claims, row -> row.claim().createdMillis() < limit);
    removeLeading(bindings, row -> row.insertedMillis() < limit);
    removeLeading(voided, insertedMillis -> insertedMillis < limit);
    billed.removeBefore(limit);
  }

  private static <V> void removeLeading(Map<String, V> rows, Predicate<V> isRemovable) {
    Iterator<V> values = rows.values().iterator();
    while (values.hasNext() && isRemovable.test(values.next())) {
      values.remove();
    }
  }

  private Applied claim(LedgerEntry.Claim claim, long nowMillis) {
    if (isExpired(claim, nowMillis)) {
      return Applied.unchanged(LedgerResult.of(LedgerResult.Kind.EXPIRED));
    }
    if (voided.containsKey(claim.attempt())) {
      return Applied.unchanged(LedgerResult.of(LedgerResult.Kind.VOIDED));
    }
    ClaimRow row = claims.get(claim.key());
    if (row == null) {
      claims.put(claim.key(), new ClaimRow(claim, Optional.empty()));
      return Applied.changed(LedgerResult.Kind.GRANTED);
    }
    return Applied.unchanged(resultOf(claim, row));
  }

  private static LedgerResult resultOf(LedgerEntry.Claim claim, ClaimRow row) {
    if (!row.claim().fingerprint().equals(claim.fingerprint())) {
      return LedgerResult.of(LedgerResult.Kind.REUSED);
    }
    if (row.outcome().isPresent()) {
      return LedgerResult.ended(row.outcome().get());
    }
    if (row.claim().attempt().equals(claim.attempt())) {
      return LedgerResult.of(LedgerResult.Kind.GRANTED);
    }
    return LedgerResult.taken(row.claim().process());
  }

  private Applied voidAttempt(LedgerEntry.Void voidEntry, long nowMillis) {
    boolean added = voided.putIfAbsent(voidEntry.attempt(), nowMillis) == null;
    ClaimRow row = claims.get(voidEntry.key());
    boolean holds = row != null && row.claim().attempt().equals(voidEntry.attempt());
    if (holds && row.outcome().isEmpty()) {
      claims.remove(voidEntry.key());
    }
    LedgerResult.Kind kind =
        added ? LedgerResult.Kind.RECORDED : LedgerResult.Kind.ALREADY_RECORDED;
    return new Applied(added, LedgerResult.of(kind));
  }

  private Applied recordOutcome(LedgerEntry.Outcome outcome) {
    ClaimRow row = claims.get(outcome.key());
    boolean holds = row != null && row.claim().attempt().equals(outcome.attempt());
    if (!holds || row.outcome().isPresent()) {
      return Applied.unchanged(LedgerResult.of(LedgerResult.Kind.ALREADY_RECORDED));
    }
    claims.put(outcome.key(), new ClaimRow(row.claim(), Optional.of(outcome)));
    return Applied.changed(LedgerResult.Kind.RECORDED);
  }

  private Applied addBill(Bill bill, long nowMillis) {
    if (bill.createdMillis() < nowMillis - retention.toMillis()) {
      return Applied.unchanged(LedgerResult.of(LedgerResult.Kind.EXPIRED));
    }
    if (!billed.add(bill)) {
      return Applied.unchanged(LedgerResult.of(LedgerResult.Kind.ALREADY_RECORDED));
    }
    return Applied.changed(LedgerResult.Kind.RECORDED);
  }

  private Applied bind(LedgerEntry.Binding binding, long nowMillis) {
    BindingRow row = new BindingRow(binding.version(), nowMillis);
    BindingRow existing = bindings.putIfAbsent(binding.key(), row);
    String boundVersion = existing == null ? binding.version() : existing.version();
    return new Applied(existing == null, LedgerResult.bound(boundVersion));
  }

  private boolean isExpired(LedgerEntry.Claim claim, long nowMillis) {
    return claim.createdMillis() < nowMillis - retention.toMillis();
  }
}
