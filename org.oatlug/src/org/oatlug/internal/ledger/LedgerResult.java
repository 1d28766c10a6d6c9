// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.ledger;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * Result of applying an entry. Immutable.
 *
 * @param kind the kind of result
 * @param process the process that holds the claim, for {@link Kind#TAKEN}
 * @param outcome the recorded outcome, for {@link Kind#ENDED}
 * @param bound the version that the session is bound to, for {@link Kind#BOUND}
 */
public record LedgerResult(
    Kind kind,
    Optional<String> process,
    Optional<LedgerEntry.Outcome> outcome,
    Optional<String> bound) {

  /** Kind of result. */
  public enum Kind {
    /** The attempt holds the claim and may be dispatched. */
    GRANTED,
    /** Another attempt holds the claim. */
    TAKEN,
    /** The claimed request has a recorded outcome. */
    ENDED,
    /** The key was already used for a different request. */
    REUSED,
    /** The attempt was voided before. */
    VOIDED,
    /** The claim or bill is older than the retention. */
    EXPIRED,
    /** The entry is recorded. */
    RECORDED,
    /**
     * An earlier entry for the key or id takes precedence, or the outcome is of an attempt that
     * does not hold the claim; nothing changed.
     */
    @JsonProperty("ALREADY")
    ALREADY_RECORDED,
    /** The session is bound to a version. */
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
