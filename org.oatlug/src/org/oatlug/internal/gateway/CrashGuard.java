// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.oatlug.gateway.PromptPart;
import org.oatlug.internal.crash.AbandonedAttempts;
import org.oatlug.internal.crash.CrashKeys;
import org.oatlug.internal.crash.CrashLedger;
import org.oatlug.internal.crash.CrashLedger.Assessment;
import org.oatlug.internal.crash.CrashLedger.Verdict;
import org.oatlug.internal.crash.RequestFingerprint;
import org.oatlug.internal.gateway.CrashProbe.ProcessState;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.util.TimeoutEvidence;

/**
 * Prevents requests that crash upstreams from crashing more of them.
 *
 * <p>A request becomes a suspect when two upstream processes have crashed while running it, or
 * requests that share a prompt part with it. Suspects of one cause run isolated: on one upstream at
 * a time, preferably an idle one, and without retries within the try. So another crash affects few
 * other requests, and a harmless request is soon cleared by completing. The {@link CrashLedger}
 * holds the evidence. Invariant: an upstream counts as running a suspect exactly while this
 * instance has a suspect open there. Used from one event loop.
 */
final class CrashGuard {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Retry delay for the caller of a suspect of which another try is running. */
  private static final Duration SUSPECT_RETRY_DELAY = Duration.ofSeconds(1);

  private final CrashLedger ledger;
  private final CrashProbe crashProbe;
  private final InstantSource clock;
  private final Meters meters;

  private final AbandonedAttempts abandonedAttempts = AbandonedAttempts.create();

  /** Maps what each running suspect is suspected for to its upstream. */
  private final Map<String, String> suspectUpstreams = new HashMap<>();

  /**
   * A reason not to send a request now.
   *
   * @param processes the upstream processes that crashed
   * @param retryAfter when the caller may retry, empty if that is pointless
   */
  record Hold(List<String> processes, Optional<Duration> retryAfter) {}

  private CrashGuard(
      CrashLedger ledger, CrashProbe crashProbe, InstantSource clock, Meters meters) {
    this.ledger = ledger;
    this.crashProbe = crashProbe;
    this.clock = clock;
    this.meters = meters;
    ledger.onProcessCrash(this::recordAbandonedAtCrash);
  }

  /** Returns a guard that has recorded no crashes yet, of requests to upstreams in the tables. */
  static CrashGuard create(
      Vertx vertx,
      InstantSource clock,
      Meters meters,
      GatewayTables tables,
      TimeoutEvidence timeouts) {
    CrashReferences references = new CrashReferences(tables);
    CrashProbe probe = CrashProbe.create(vertx, clock, timeouts, references::of);
    references.exclude(probe::hasCrashed);
    return new CrashGuard(CrashLedger.create(clock), probe, clock, meters);
  }

  /** Returns the ledger of crashes that this instance and its peers have recorded. */
  CrashLedger ledger() {
    return ledger;
  }

  /** Returns the guard for one try of a request. */
  RequestGuard guard(AdmittedRequest request) {
    return new RequestGuard(request);
  }

  private void recordAbandonedAtCrash(String process, Instant crashedAt) {
    abandonedAttempts
        .takeAtCrash(process, crashedAt)
        .forEach(attempt -> recordCrash(process, attempt, crashedAt));
  }

  private void recordCrash(String process, AbandonedAttempts.Attempt attempt, Instant crashedAt) {
    meters.count("crash.after-abandoned");
    for (long part : attempt.parts()) {
      recordPartCrash(part, process, attempt.startedAt(), crashedAt);
    }
  }

  private void recordPartCrash(long part, String process, Instant startedAt, Instant crashedAt) {
    ledger.recordCrash(
        RequestFingerprint.ofPart(part),
        "prompt part " + Long.toHexString(part),
        process,
        startedAt,
        crashedAt);
  }

  /** Records that an upstream responded to a request of this instance. */
  void recordResponse(String process) {
    abandonedAttempts.recordResponse(process, clock.instant());
  }

  /**
   * Records that no connection to an upstream could be opened. It may have crashed under an attempt
   * that was abandoned, without anything else being open there.
   */
  void connectFailed(UpstreamSelection.CostedUpstream chosen) {
    String process = chosen.row().process();
    if (abandonedAttempts.mayHaveCrashed(process)) {
      crashProbe.ifCrashed(process, chosen.upstream(), () -> recordAbandoned(process));
    }
  }

  private void recordAbandoned(String process) {
    for (AbandonedAttempts.Attempt attempt : abandonedAttempts.takeUnanswered(process)) {
      recordCrash(process, attempt, attempt.abandonedAt());
    }
  }

  /** Calls the action with the state of the upstream process, as soon as it is known. */
  void checkProcess(UpstreamSelection.CostedUpstream chosen, Consumer<ProcessState> action) {
    crashProbe.check(chosen.row().process(), chosen.upstream(), action);
  }

  /** Returns whether a suspect runs on the upstream. */
  boolean runsSuspect(String upstream) {
    return !suspectUpstreams.isEmpty() && suspectUpstreams.containsValue(upstream);
  }

  /** Removes the evidence against a request and returns whether there was any. */
  boolean clear(String fingerprint) {
    logger.atInfo().log("operator cleared request %s to run again", fingerprint);
    return ledger.clear(fingerprint);
  }

  /** Guards one try of a request. */
  final class RequestGuard {
    private final AdmittedRequest request;
    private Optional<CrashKeys> keys = Optional.empty();
    private Optional<String> isolatedFor = Optional.empty();

    private RequestGuard(AdmittedRequest request) {
      this.request = request;
    }

    /** Returns the keys of the request; computed once, and only if the ledger is not empty. */
    private CrashKeys keys() {
      if (keys.isEmpty()) {
        keys = Optional.of(new CrashKeys(request.fingerprint(), parts()));
      }
      return keys.get();
    }

    private List<String> parts() {
      return request.sharedParts().stream()
          .map(part -> RequestFingerprint.ofPart(part.hash()))
          .toList();
    }

    private Optional<Assessment> assessment() {
      return ledger.isEmpty() ? Optional.empty() : Optional.of(ledger.assess(keys()));
    }

    /** Returns the verdict on the request. */
    Verdict verdict() {
      return assessment().map(Assessment::verdict).orElse(Verdict.CLEAR);
    }

    /** Returns whether the request has to run isolated. */
    boolean isSuspect() {
      return verdict() == Verdict.SUSPECT;
    }

    /** Returns why the request must not be sent now, empty if it may be. */
    Optional<Hold> hold() {
      return assessment().flatMap(this::hold);
    }

    private Optional<Hold> hold(Assessment assessment) {
      List<String> processes = ledger.crashedProcesses(assessment.cause());
      return switch (assessment.verdict()) {
        case CLEAR -> Optional.empty();
        case SUSPECT ->
            suspectUpstreams.containsKey(assessment.cause())
                ? Optional.of(new Hold(processes, Optional.of(SUSPECT_RETRY_DELAY)))
                : Optional.empty();
        case REFUSED ->
            Optional.of(new Hold(processes, ledger.timeUntilRelease(assessment.cause())));
      };
    }

    /** Records that the suspect is sent to an upstream. */
    void startIsolated(String upstream) {
      meters.count("crash.suspect-alone");
      isolatedFor = assessment().map(Assessment::cause);
      isolatedFor.ifPresent(cause -> suspectUpstreams.put(cause, upstream));
    }

    /** Records that the suspect is no longer open on its upstream. */
    void endIsolated() {
      isolatedFor.ifPresent(suspectUpstreams::remove);
      isolatedFor = Optional.empty();
    }

    /**
     * Returns whether the request must not be retried within this try after its response was
     * interrupted: if the upstream turns out to have crashed, so could the next one.
     */
    boolean blocksRetry(String process) {
      return !ledger.isEmpty() && ledger.blocksRetry(keys(), process);
    }

    /**
     * Records that the response of an upstream was interrupted; it counts as evidence if the
     * upstream has crashed.
     *
     * @param attemptStart the start time of the attempt
     * @param hasBegun whether the response had gone on beyond its beginning, which speaks against
     *     its prompt parts as the cause
     */
    void responseInterrupted(
        UpstreamSelection.CostedUpstream chosen, Instant attemptStart, boolean hasBegun) {
      Instant interruptedAt = clock.instant();
      crashProbe.ifCrashed(
          chosen.row().process(),
          chosen.upstream(),
          () -> recordCrash(chosen, attemptStart, interruptedAt, hasBegun));
    }

    private void recordCrash(
        UpstreamSelection.CostedUpstream chosen,
        Instant attemptStart,
        Instant interruptedAt,
        boolean hasBegun) {
      meters.count("crash.upstream-ended");
      chosen.row().recordCrash(interruptedAt);
      String process = chosen.row().process();
      if (!hasBegun) {
        request
            .sharedParts()
            .forEach(part -> recordPartCrash(part.hash(), process, attemptStart, interruptedAt));
      }
      ledger.recordCrash(
          request.fingerprint(), request.subject(), process, attemptStart, interruptedAt);
    }

    /** Records that the attempt was ended before its response was complete. */
    void attemptAbandoned(UpstreamSelection.CostedUpstream chosen, Instant attemptStart) {
      List<Long> hashes = request.sharedParts().stream().map(PromptPart::hash).toList();
      if (!hashes.isEmpty()) {
        abandonedAttempts.add(
            chosen.row().process(),
            new AbandonedAttempts.Attempt(hashes, attemptStart, clock.instant()));
      }
    }

    /** Records that the response has gone on beyond its beginning. */
    void recordBegun() {
      parts().forEach(ledger::recordSuccess);
    }

    /** Records that the request completed with a whole response. */
    void recordSuccess() {
      recordBegun();
      if (!ledger.isEmpty()) {
        ledger.recordSuccess(keys().request());
      }
    }

    @Override
    public String toString() {
      return keys().request() + " " + assessment().map(Assessment::toString).orElse("");
    }
  }
}
