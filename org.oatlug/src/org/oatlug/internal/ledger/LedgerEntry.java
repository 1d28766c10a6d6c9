// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.ledger;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.oatlug.internal.billing.Bill;

/**
 * Entry of the ledger. Immutable.
 *
 * <p>Invariant: applying an entry twice has the effect of applying it once, so an entry whose
 * confirmation was lost can be resubmitted.
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

  /** Returns the key that determines the shard. */
  String key();

  /**
   * Claims the right to run a request that may run at most once.
   *
   * @param key the workspace and the caller's idempotency key
   * @param attempt the attempt id; only the process that created it may run it
   * @param fingerprint a hash of the request
   * @param process the process that makes the claim
   * @param createdMillis time of the claim, in milliseconds since 1970
   */
  record Claim(
      String key,
      String attempt,
      String fingerprint,
      String process,
      @JsonProperty("bornMillis") long createdMillis)
      implements LedgerEntry {}

  /**
   * Voids an attempt that was not and will not be dispatched.
   *
   * @param key the key of the claim
   * @param attempt the attempt id
   */
  record Void(String key, String attempt) implements LedgerEntry {}

  /**
   * Records the outcome of a claimed request.
   *
   * @param key the key of the claim
   * @param attempt the attempt id
   * @param kind whether the request is known to have run, and whether its response is recorded
   * @param status the HTTP status of the response
   * @param contentType the content type of the response
   * @param body the response body, empty if it was not recorded
   */
  record Outcome(String key, String attempt, Kind kind, int status, String contentType, String body)
      implements LedgerEntry {
    /** What is known of the outcome of a claimed request. */
    public enum Kind {
      ANSWERED,
      @JsonProperty("ANSWER_NOT_KEPT")
      RESPONSE_NOT_STORED,
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
   * Binds a session with a caller-supplied name to a version.
   *
   * @param key the workspace, session and model
   * @param version the version
   */
  record Binding(String key, String version) implements LedgerEntry {}
}
