// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.ledger;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
  private final Map<String, ClaimRow> claims = new HashMap<>();
  private final Map<String, String> bindings = new HashMap<>();
  private final Map<String, Bill> bills = new HashMap<>();
  private final Set<String> voided = new HashSet<>();

  ShardState(Duration retention) {
    this.retention = retention;
  }

  private record ClaimRow(LedgerEntry.Claim claim, Optional<LedgerEntry.Outcome> outcome) {}

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
      return giveUp(given);
    } else if (entry instanceof LedgerEntry.Outcome outcome) {
      return end(outcome);
    } else if (entry instanceof LedgerEntry.Billed billed) {
      return enterBill(billed.bill());
    } else {
      return bind((LedgerEntry.Binding) entry);
    }
  }

  /** Returns the bill of this id. */
  Optional<Bill> bill(String id) {
    return Optional.ofNullable(bills.get(id));
  }

  /** Returns the number of keys that are kept. */
  int size() {
    return claims.size() + bindings.size() + bills.size();
  }

  private Applied claim(LedgerEntry.Claim claim, long nowMillis) {
    if (isExpired(claim, nowMillis)) {
      return Applied.unchanged(LedgerResult.of(LedgerResult.Kind.EXPIRED));
    }
    if (voided.contains(claim.attempt())) {
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

  private Applied giveUp(LedgerEntry.Void given) {
    boolean added = voided.add(given.attempt());
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

  private Applied enterBill(Bill bill) {
    if (bills.putIfAbsent(bill.id(), bill) != null) {
      return Applied.unchanged(LedgerResult.of(LedgerResult.Kind.ALREADY));
    }
    return Applied.changed(LedgerResult.Kind.RECORDED);
  }

  private Applied bind(LedgerEntry.Binding binding) {
    String known = bindings.putIfAbsent(binding.key(), binding.version());
    String standing = known == null ? binding.version() : known;
    return new Applied(known == null, LedgerResult.bound(standing));
  }

  private boolean isExpired(LedgerEntry.Claim claim, long nowMillis) {
    return claim.bornMillis() < nowMillis - retention.toMillis();
  }
}
