// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.oatlug.api.NotRun;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.internal.limit.RefusalRecords;
import org.oatlug.internal.limit.RetryPacing;
import org.oatlug.internal.metrics.Meters;

/**
 * Assigns return times to refused callers, and recognizes the retries that observe them.
 *
 * <p>{@link RetryPacing} and {@link RefusalRecords} decide. Invariant: the content of a request is
 * hashed only if the request is refused or there are records, because hashing each body costs
 * processor time on small instances. Owned by one event loop, not thread-safe.
 */
final class RefusedCallers {
  private static final long NANOS_BELOW_MILLI = 999_999;

  private final BooleanSupplier inUse;
  private final InstantSource clock;
  private final Meters meters;
  private final RetryPacing pacing;
  private final RefusalRecords records;

  private RefusedCallers(
      BooleanSupplier inUse, InstantSource clock, RandomGenerator random, Meters meters) {
    this.inUse = inUse;
    this.clock = clock;
    this.meters = meters;
    this.pacing = RetryPacing.create(random);
    this.records = RefusalRecords.create(() -> meters.count("retry.records-dropped"));
  }

  /**
   * Returns an instance without records.
   *
   * @param inUse returns whether retries are managed, by the settings and the configuration
   */
  static RefusedCallers create(
      BooleanSupplier inUse, InstantSource clock, RandomGenerator random, Meters meters) {
    return new RefusedCallers(inUse, clock, random, meters);
  }

  /** Returns the records of refusals, to exchange them with other instances. */
  RefusalRecords records() {
    return records;
  }

  /** Records that a response of an upstream of the service was delivered completely. */
  void recordCompleted(String service) {
    if (inUse.getAsBoolean()) {
      pacing.recordRelease(service, clock.instant());
    }
  }

  /** Returns the state that is kept for one try of a request. */
  Try tryOf(AdmittedRequest request) {
    return new Try(request);
  }

  /** One try of a request by its caller. */
  final class Try {
    private final AdmittedRequest request;
    private Optional<Long> content = Optional.empty();
    private Optional<RetryPacing.ReturnTime> assigned = Optional.empty();
    private boolean returnedInTime;

    private Try(AdmittedRequest request) {
      this.request = request;
    }

    private long content() {
      if (content.isEmpty()) {
        content = Optional.of(request.contentHash());
      }
      return content.get();
    }

    /**
     * Determines whether the request is a retry that observes its return time; to be called once.
     */
    void arrive() {
      Instant now = clock.instant();
      if (!inUse.getAsBoolean() || records.isEmpty(now)) {
        return;
      }
      returnedInTime = records.use(content(), now);
      // A forwarded request was counted by the instance that admitted it.
      if (request.forwarded().isEmpty()) {
        if (returnedInTime) {
          meters.count("retry.returned-in-time");
        } else if (records.find(content(), now).isPresent()) {
          meters.count("retry.returned-early");
        }
      }
    }

    /** Returns whether the request is a retry that observes its return time. */
    boolean isReturnedInTime() {
      return returnedInTime;
    }

    /**
     * Returns the delay until the caller may return, empty if retries are not managed. It is
     * assigned once; a caller that returned early gets the same time again.
     *
     * @param predictedWait the time before which the service cannot serve it, zero if unknown
     */
    Optional<Duration> returnDelay(Duration predictedWait) {
      if (!inUse.getAsBoolean()) {
        return Optional.empty();
      }
      Optional<Duration> stated = statedDelay();
      if (stated.isPresent()) {
        return stated;
      }
      Instant now = clock.instant();
      Duration timeLeft = Duration.between(now, request.deadline());
      assigned = Optional.of(pacing.assign(request.service(), predictedWait, timeLeft, now));
      return assigned.map(RetryPacing.ReturnTime::delay);
    }

    /** Returns the delay until the return time of an earlier refusal, empty if it is over. */
    Optional<Duration> statedDelay() {
      Instant now = clock.instant();
      if (!inUse.getAsBoolean() || records.isEmpty(now)) {
        return Optional.empty();
      }
      return records
          .find(content(), now)
          .map(refused -> wholeMillis(Duration.between(now, refused.returnAt())))
          .filter(delay -> !delay.isNegative() && !delay.isZero());
    }

    /** Records a refusal; returns it with the return time in force. */
    Refusal record(Refusal refusal) {
      boolean isRecorded =
          inUse.getAsBoolean()
              && refusal.notRun() == NotRun.YES
              && refusal.retryAfter().isPresent()
              && refusal.reason() != RefusalReason.CRASHES_UPSTREAMS
              // Recorded by the instance that answers the caller.
              && request.forwarded().isEmpty();
      if (!isRecorded) {
        return refusal;
      }
      Instant now = clock.instant();
      Instant returnAt = records.add(content(), now.plus(refusal.retryAfter().get()), now);
      return Refusal.retryAfter(
          refusal.reason(), refusal.detail(), wholeMillis(Duration.between(now, returnAt)));
    }

    /** Rounds up, because the header has milliseconds and the caller would return too early. */
    private static Duration wholeMillis(Duration delay) {
      return Duration.ofMillis(delay.plusNanos(NANOS_BELOW_MILLI).toMillis());
    }

    /** Returns the return time of the refusal and its rate, for the log; empty if it has none. */
    String describe(Refusal refusal) {
      if (!inUse.getAsBoolean() || refusal.retryAfter().isEmpty()) {
        return "";
      }
      String rate =
          assigned.map(time -> String.format(Locale.ROOT, "%.1f", time.perSecond())).orElse("none");
      return " returnMillis=" + refusal.retryAfter().get().toMillis() + " perSecond=" + rate;
    }
  }
}
