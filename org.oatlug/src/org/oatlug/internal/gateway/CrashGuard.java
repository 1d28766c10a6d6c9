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
import org.oatlug.internal.crash.CrashLedger;
import org.oatlug.internal.crash.CrashLedger.Verdict;
import org.oatlug.internal.metrics.Meters;

/**
 * Prevents requests that crash upstreams from crashing more of them.
 *
 * <p>A request becomes a suspect when two upstream processes have crashed while running it. A
 * suspect runs isolated: on one upstream at a time, preferably an idle one, and without retries
 * within the try. So another crash affects few other requests, and a harmless request is soon
 * cleared by completing. The {@link CrashLedger} holds the evidence. Invariant: an upstream counts
 * as running a suspect exactly while this instance has a suspect open there. Used from one event
 * loop.
 */
final class CrashGuard {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Retry delay for the caller of a suspect of which another try is running. */
  private static final Duration SUSPECT_RETRY_DELAY = Duration.ofSeconds(1);

  private final CrashLedger ledger;
  private final CrashProbe crashProbe;
  private final InstantSource clock;
  private final Meters meters;

  /** Maps the fingerprint of each running suspect to its upstream. */
  private final Map<String, String> suspectUpstreams = new HashMap<>();

  private CrashGuard(
      CrashLedger ledger, CrashProbe crashProbe, InstantSource clock, Meters meters) {
    this.ledger = ledger;
    this.crashProbe = crashProbe;
    this.clock = clock;
    this.meters = meters;
  }

  /** Returns a guard that has recorded no crashes yet, of requests to upstreams in the tables. */
  static CrashGuard create(Vertx vertx, InstantSource clock, Meters meters, GatewayTables tables) {
    CrashReferences references = new CrashReferences(tables);
    CrashProbe probe = CrashProbe.create(vertx, references::of);
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
    private Optional<String> fingerprint = Optional.empty();

    private RequestGuard(AdmittedRequest request) {
      this.request = request;
    }

    /** Returns the fingerprint; it is computed once, and only if the ledger is not empty. */
    private String fingerprint() {
      if (fingerprint.isEmpty()) {
        fingerprint = Optional.of(request.fingerprint());
      }
      return fingerprint.get();
    }

    /** Returns the verdict on the request. */
    Verdict verdict() {
      return ledger.isEmpty() ? Verdict.CLEAR : ledger.verdict(fingerprint());
    }

    /** Returns whether the request has to run isolated. */
    boolean isSuspect() {
      return verdict() == Verdict.SUSPECT;
    }

    /** Returns the time after which the caller may retry, empty if the request may run now. */
    Optional<Duration> retryDelay() {
      return switch (verdict()) {
        case CLEAR -> Optional.empty();
        case SUSPECT ->
            suspectUpstreams.containsKey(fingerprint())
                ? Optional.of(SUSPECT_RETRY_DELAY)
                : Optional.empty();
        case REFUSED -> Optional.of(ledger.timeUntilExpiry(fingerprint()));
      };
    }

    /** Returns the upstream processes that crashed while running the request. */
    List<String> crashedProcesses() {
      return ledger.crashedProcesses(fingerprint());
    }

    /** Records that the suspect is sent to an upstream. */
    void startIsolated(String upstream) {
      meters.count("crash.suspect-alone");
      suspectUpstreams.put(fingerprint(), upstream);
    }

    /** Records that the suspect is no longer open on its upstream. */
    void endIsolated() {
      suspectUpstreams.remove(fingerprint());
    }

    /**
     * Returns whether the request must not be retried within this try after its response was
     * interrupted: if the upstream turns out to have crashed, the request becomes a suspect.
     */
    boolean blocksRetry(String process) {
      return !ledger.isEmpty() && ledger.wouldBeSuspect(fingerprint(), process);
    }

    /**
     * Records that the response of an upstream was interrupted; it counts as evidence if the
     * upstream has crashed.
     *
     * @param attemptStart the start time of the attempt
     */
    void responseInterrupted(UpstreamSelection.CostedUpstream chosen, Instant attemptStart) {
      Instant interruptedAt = clock.instant();
      crashProbe.ifCrashed(
          chosen.row().process(),
          chosen.upstream(),
          () -> recordCrash(chosen, attemptStart, interruptedAt));
    }

    private void recordCrash(
        UpstreamSelection.CostedUpstream chosen, Instant attemptStart, Instant interruptedAt) {
      meters.count("crash.upstream-ended");
      chosen.row().recordCrash(interruptedAt);
      ledger.recordCrash(
          fingerprint(), request.subject(), chosen.row().process(), attemptStart, interruptedAt);
    }

    /** Records that the request completed with a whole response. */
    void recordSuccess() {
      if (!ledger.isEmpty()) {
        ledger.recordSuccess(fingerprint());
      }
    }

    @Override
    public String toString() {
      return fingerprint() + " " + verdict();
    }
  }
}
