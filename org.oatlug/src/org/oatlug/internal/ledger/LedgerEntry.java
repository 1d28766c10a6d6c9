// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.ledger;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.oatlug.internal.billing.Bill;

/**
 * An entry of the ledger. Immutable.
 *
 * <p>Invariant: applying an entry twice has the effect of applying it once, so an entry whose
 * confirmation was lost can be submitted again.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = LedgerEntry.Claim.class, name = "claim"),
  @JsonSubTypes.Type(value = LedgerEntry.Void.class, name = "void"),
  @JsonSubTypes.Type(value = LedgerEntry.Outcome.class, name = "outcome"),
  @JsonSubTypes.Type(value = LedgerEntry.Billed.class, name = "bill"),
  @JsonSubTypes.Type(value = LedgerEntry.Binding.class, name = "binding")
})
public sealed interface LedgerEntry {

  /** Returns the key that chooses the shard. */
  String key();

  /**
   * Asks for the right to run a request that may run at most once.
   *
   * @param key workspace and the caller's key
   * @param attempt the attempt; only the process that made it may run it
   * @param fingerprint a hash of the request
   * @param process the process that asks
   * @param bornMillis when it asked, in milliseconds since 1970
   */
  record Claim(String key, String attempt, String fingerprint, String process, long bornMillis)
      implements LedgerEntry {}

  /**
   * Gives up an attempt that was not and will not be dispatched.
   *
   * @param key the key of the claim
   * @param attempt the attempt
   */
  record Void(String key, String attempt) implements LedgerEntry {}

  /**
   * Records how a claimed request ended.
   *
   * @param key the key of the claim
   * @param attempt the attempt
   * @param kind what is known of the end
   * @param status the HTTP status of the answer
   * @param contentType the type of the answer
   * @param body the answer, empty if it was not kept
   */
  record Outcome(String key, String attempt, Kind kind, int status, String contentType, String body)
      implements LedgerEntry {
    /** What is known of the end of a claimed request. */
    public enum Kind {
      ANSWERED,
      ANSWER_NOT_KEPT,
      MAY_HAVE_RUN
    }
  }

  /**
   * Records a bill.
   *
   * @param bill the bill
   */
  record Billed(Bill bill) implements LedgerEntry {
    @Override
    public String key() {
      return bill.id();
    }
  }

  /**
   * Binds a session that the caller named to a version.
   *
   * @param key workspace, session and model
   * @param version the version
   */
  record Binding(String key, String version) implements LedgerEntry {}
}
