// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.ledger;

import java.util.Optional;

/**
 * What became of an entry. Immutable.
 *
 * @param kind the result
 * @param process the process that holds the claim, for {@link Kind#TAKEN}
 * @param outcome the recorded outcome, for {@link Kind#ENDED}
 * @param bound the version that the session is bound to, for {@link Kind#BOUND}
 */
public record LedgerResult(
    Kind kind,
    Optional<String> process,
    Optional<LedgerEntry.Outcome> outcome,
    Optional<String> bound) {

  /** What became of an entry. */
  public enum Kind {
    /** The claim holds; the attempt may be dispatched. */
    GRANTED,
    /** Another attempt holds the claim. */
    TAKEN,
    /** The claimed request ended. */
    ENDED,
    /** The key was used for another request. */
    REUSED,
    /** The attempt was given up before. */
    VOIDED,
    /** The claim is older than the retention. */
    EXPIRED,
    /** The entry is recorded. */
    RECORDED,
    /** An earlier entry for the key stands. */
    ALREADY,
    /** The session is bound. */
    BOUND
  }

  static LedgerResult of(Kind kind) {
    return new LedgerResult(kind, Optional.empty(), Optional.empty(), Optional.empty());
  }

  static LedgerResult taken(String process) {
    return new LedgerResult(Kind.TAKEN, Optional.of(process), Optional.empty(), Optional.empty());
  }

  static LedgerResult ended(LedgerEntry.Outcome outcome) {
    return new LedgerResult(Kind.ENDED, Optional.empty(), Optional.of(outcome), Optional.empty());
  }

  static LedgerResult bound(String version) {
    return new LedgerResult(Kind.BOUND, Optional.empty(), Optional.empty(), Optional.of(version));
  }
}
