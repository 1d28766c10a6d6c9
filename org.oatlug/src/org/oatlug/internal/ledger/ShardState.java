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
 * What the entries of one shard amount to.
 *
 * <p>Invariants: the first claim of a key that was not given up stands; an outcome, once recorded,
 * stands; a given-up attempt is never granted; the first bill of an id stands. Applying entries
 * again changes nothing. Owned by one event loop, not thread-safe.
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

  private record BindingRow(String version, long enteredMillis) {}

  /** Whether an entry changed the state, and what became of it. */
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
    } else if (entry instanceof LedgerEntry.Void given) {
      return giveUp(given, nowMillis);
    } else if (entry instanceof LedgerEntry.Outcome outcome) {
      return end(outcome);
    } else if (entry instanceof LedgerEntry.Billed entered) {
      return enterBill(entered.bill(), nowMillis);
    } else {
      return bind((LedgerEntry.Binding) entry, nowMillis);
    }
  }

  /** Returns the number of keys that are kept. */
  int size() {
    return claims.size() + bindings.size() + voided.size() + billed.size();
  }

  /**
   * Forgets what is older than the retention.
   *
   * <p>Rows stand in the order of their entry, so only those at the front are looked at.
   */
  void forget(long nowMillis) {
    long limit = nowMillis - retention.toMillis();
    dropWhile(claims, row -> row.claim().bornMillis() < limit);
    dropWhile(bindings, row -> row.enteredMillis() < limit);
    dropWhile(voided, enteredMillis -> enteredMillis < limit);
    billed.forgetBefore(limit);
  }

  private static <V> void dropWhile(Map<String, V> rows, Predicate<V> isOld) {
    Iterator<V> values = rows.values().iterator();
    while (values.hasNext() && isOld.test(values.next())) {
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

  private Applied giveUp(LedgerEntry.Void given, long nowMillis) {
    boolean added = voided.putIfAbsent(given.attempt(), nowMillis) == null;
    ClaimRow row = claims.get(given.key());
    boolean holds = row != null && row.claim().attempt().equals(given.attempt());
    if (holds && row.outcome().isEmpty()) {
      claims.remove(given.key());
    }
    LedgerResult.Kind kind = added ? LedgerResult.Kind.RECORDED : LedgerResult.Kind.ALREADY;
    return new Applied(added, LedgerResult.of(kind));
  }

  private Applied end(LedgerEntry.Outcome outcome) {
    ClaimRow row = claims.get(outcome.key());
    boolean holds = row != null && row.claim().attempt().equals(outcome.attempt());
    if (!holds || row.outcome().isPresent()) {
      return Applied.unchanged(LedgerResult.of(LedgerResult.Kind.ALREADY));
    }
    claims.put(outcome.key(), new ClaimRow(row.claim(), Optional.of(outcome)));
    return Applied.changed(LedgerResult.Kind.RECORDED);
  }

  private Applied enterBill(Bill bill, long nowMillis) {
    if (bill.bornMillis() < nowMillis - retention.toMillis()) {
      return Applied.unchanged(LedgerResult.of(LedgerResult.Kind.EXPIRED));
    }
    if (!billed.add(bill)) {
      return Applied.unchanged(LedgerResult.of(LedgerResult.Kind.ALREADY));
    }
    return Applied.changed(LedgerResult.Kind.RECORDED);
  }

  private Applied bind(LedgerEntry.Binding binding, long nowMillis) {
    BindingRow row = new BindingRow(binding.version(), nowMillis);
    BindingRow known = bindings.putIfAbsent(binding.key(), row);
    String standing = known == null ? binding.version() : known.version();
    return new Applied(known == null, LedgerResult.bound(standing));
  }

  private boolean isExpired(LedgerEntry.Claim claim, long nowMillis) {
    return claim.bornMillis() < nowMillis - retention.toMillis();
  }
}
