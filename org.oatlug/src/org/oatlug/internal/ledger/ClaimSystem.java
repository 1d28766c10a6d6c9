// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.ledger;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Function;
import org.oatlug.api.NotRun;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.ErrorText;
import org.oatlug.errors.RefusedException;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.util.TickSystem;

/**
 * Claims idempotency keys of requests that may run at most once, and records their outcomes.
 *
 * <p>Invariants: an attempt is dispatched only after its claim was granted and while it is not
 * abandoned. An abandoned attempt is never dispatched, even if the grant arrives late; it is
 * voided, so that a retry by the caller may run. A void or an outcome that cannot be recorded is
 * retried until it succeeds; if the retry queue is full, it is dropped and counted. Owned by one
 * event loop, not thread-safe.
 */
public final class ClaimSystem implements TickSystem {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(2);
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);
  private static final int MAXIMUM_UNRECORDED = 10_000;

  private final Function<LedgerEntry, Uni<LedgerResult>> ledger;
  private final Membership membership;
  private final InstantSource clock;
  private final Meters meters;
  private final Deque<LedgerEntry> retryQueue = new ArrayDeque<>();
  private Instant nextRetry = Instant.EPOCH;

  private ClaimSystem(
      Function<LedgerEntry, Uni<LedgerResult>> ledger,
      Membership membership,
      InstantSource clock,
      Meters meters) {
    this.ledger = ledger;
    this.membership = membership;
    this.clock = clock;
    this.meters = meters;
  }

  /**
   * Returns a system without queued entries.
   *
   * @param ledger submits an entry and completes when it is confirmed
   */
  public static ClaimSystem create(
      Function<LedgerEntry, Uni<LedgerResult>> ledger,
      Membership membership,
      InstantSource clock,
      Meters meters) {
    return new ClaimSystem(ledger, membership, clock, meters);
  }

  /**
   * A granted claim, or the recorded outcome of an earlier request with the same key.
   *
   * @param key the claimed key
   * @param attempt the attempt that may be dispatched
   * @param recorded the outcome to return to the caller, empty if the attempt may be dispatched
   */
  public record Claim(String key, String attempt, Optional<LedgerEntry.Outcome> recorded) {}

  /**
   * Claims a key.
   *
   * <p>Fails with {@link RefusedException} when the request must not run.
   *
   * @param key the workspace and the caller's idempotency key
   * @param fingerprint a hash of the request
   */
  public Uni<Claim> claim(String key, String fingerprint) {
    String attempt = UUID.randomUUID().toString();
    long createdMillis = clock.instant().toEpochMilli();
    String process = membership.self().process();
    LedgerEntry.Claim entry =
        new LedgerEntry.Claim(key, attempt, fingerprint, process, createdMillis);
    return ledger
        .apply(entry)
        .onFailure()
        .transform(unused -> voidAttempt(key, attempt))
        .onItem()
        .transformToUni(result -> toClaim(entry, result));
  }

  /** Voids the claim of an attempt that was not dispatched. */
  public void release(Claim claim) {
    record(new LedgerEntry.Void(claim.key(), claim.attempt()));
  }

  /**
   * Records the outcome of a claimed request; completes when it is confirmed, queued for retry, or
   * dropped because the retry queue is full.
   */
  public Uni<Void> recordOutcome(LedgerEntry.Outcome outcome) {
    return ledger
        .apply(outcome)
        .onFailure()
        .invoke(unused -> enqueue(outcome))
        .onFailure()
        .recoverWithNull()
        .replaceWithVoid();
  }

  /** Returns the number of outcomes and voids that are queued for retry. */
  public int unrecordedCount() {
    return retryQueue.size();
  }

  @Override
  public void tick() {
    Instant now = clock.instant();
    if (now.isBefore(nextRetry)) {
      return;
    }
    nextRetry = now.plus(RETRY_INTERVAL);
    for (int count = retryQueue.size(); count > 0; count--) {
      meters.count("retry.ledger-entry");
      record(retryQueue.removeFirst());
    }
  }

  private RefusedException voidAttempt(String key, String attempt) {
    record(new LedgerEntry.Void(key, attempt));
    String detail = ErrorText.get().ledgerUnavailable;
    return new RefusedException(
        Refusal.retryAfter(RefusalReason.LEDGER_UNAVAILABLE, detail, RETRY_AFTER));
  }

  private Uni<Claim> toClaim(LedgerEntry.Claim entry, LedgerResult result) {
    return switch (result.kind()) {
      case GRANTED ->
          Uni.createFrom().item(new Claim(entry.key(), entry.attempt(), Optional.empty()));
      case ENDED -> claimOfEnded(entry, result.outcome().orElseThrow());
      case TAKEN -> refuse(refusalOfTaken(result.process().orElseThrow()));
      case REUSED -> refuse(Refusal.notRun(RefusalReason.KEY_REUSED, ErrorText.get().keyReused));
      default -> refuse(Refusal.notRun(RefusalReason.KEY_EXPIRED, ErrorText.get().keyExpired));
    };
  }

  private Uni<Claim> claimOfEnded(LedgerEntry.Claim entry, LedgerEntry.Outcome outcome) {
    return switch (outcome.kind()) {
      case ANSWERED ->
          Uni.createFrom().item(new Claim(entry.key(), entry.attempt(), Optional.of(outcome)));
      case RESPONSE_NOT_STORED -> {
        String detail = ErrorText.get().answerLost;
        yield refuse(new Refusal(RefusalReason.ANSWER_LOST, NotRun.NO, detail, Optional.empty()));
      }
      case MAY_HAVE_RUN ->
          refuse(Refusal.unknown(RefusalReason.MAY_HAVE_RUN, ErrorText.get().mayHaveRun));
    };
  }

  private Refusal refusalOfTaken(String process) {
    if (membership.isUnresponsiveOrGone(process)) {
      return Refusal.unknown(RefusalReason.MAY_HAVE_RUN, ErrorText.get().mayHaveRun);
    }
    String detail = ErrorText.get().stillRunning;
    return new Refusal(
        RefusalReason.STILL_RUNNING, NotRun.UNKNOWN, detail, Optional.of(RETRY_AFTER));
  }

  private static Uni<Claim> refuse(Refusal refusal) {
    return Uni.createFrom().failure(new RefusedException(refusal));
  }

  private void record(LedgerEntry entry) {
    ledger.apply(entry).subscribe().with(result -> {}, failure -> enqueue(entry));
  }

  private void enqueue(LedgerEntry entry) {
    if (retryQueue.size() >= MAXIMUM_UNRECORDED) {
      meters.count("ledger.unrecorded-dropped");
      return;
    }
    retryQueue.addLast(entry);
  }
}
