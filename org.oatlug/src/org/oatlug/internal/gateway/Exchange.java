// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Function;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.ErrorText;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.Route;
import org.oatlug.internal.engine.FirstTokenForecast;

/**
 * Handles one admitted request: sends it to upstreams in turn until one of them responds.
 *
 * <p>Invariants: at most one attempt is open; a request that is not repeatable is never resent once
 * an upstream may have run it; a refusal that states "not run" is sent only while no upstream may
 * have run the request; the final response is sent no later than the deadline. Used from one event
 * loop.
 */
final class Exchange {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The default retry delay of a refusal: about the time until a connection slot frees up. */
  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(300);

  /** With less time left than this, an attempt cannot produce a response. */
  private static final Duration MINIMUM_ATTEMPT_TIME = Duration.ofMillis(30);

  /** The number of attempts without any written byte after which the request is refused. */
  private static final int MAXIMUM_UNSENT_ATTEMPTS = 4;

  private static final long NO_TIMER = -1;

  private final GatewayComponents components;
  private final CallerResponse callerResponse;
  private final AdmittedRequest request;
  private final Route route;
  private final Set<String> triedUpstreams = new HashSet<>();
  private final StreamRelay relay;
  private final CrashGuard.RequestGuard requestGuard;
  private long deadlineTimer = NO_TIMER;
  private int attemptsSent;
  private int attemptsNotSent;
  private int stage;
  private boolean mayHaveRun;
  private Optional<String> lastFailedVersion = Optional.empty();
  private Optional<VersionRule.VersionPreference> versionPreference = Optional.empty();
  private Optional<VersionDecisionInputs> firstInputs = Optional.empty();
  private ExchangeAttempt currentAttempt;

  private Exchange(
      GatewayComponents components, CallerResponse callerResponse, AdmittedRequest request) {
    this.components = components;
    this.callerResponse = callerResponse;
    this.request = request;
    this.route = request.route();
    this.relay = StreamRelay.after(request.head().resumeAfter());
    this.requestGuard = components.crashes().guard(request);
  }

  /** Starts handling a request. */
  static void start(
      GatewayComponents components, CallerResponse callerResponse, AdmittedRequest request) {
    new Exchange(components, callerResponse, request).start();
  }

  private void start() {
    if (refuseIfCrashing()) {
      return;
    }
    deadlineTimer = components.deadlines().schedule(request.deadline(), this::deadlinePassed);
    callerResponse.onDisconnect(this::callerDisconnected);
    components.budgets().of(request.service()).recordTry();
    stage = route.isCascade() ? components.stages().firstStage(route) : 0;
    components.dispatchQueue().enqueue(this);
  }

  /** Sends the request to its first upstream; returns false if it could no longer be served. */
  boolean sendFirst() {
    if (callerResponse.isEnded()) {
      return false;
    }
    if (callerResponse.isCallerDisconnected()) {
      components.meters().count("request.withheld-caller-left");
      return false;
    }
    if (!hasTimeForAttempt()) {
      deadlinePassed();
      return false;
    }
    sendToNextUpstream();
    return true;
  }

  GatewayComponents components() {
    return components;
  }

  CallerResponse callerResponse() {
    return callerResponse;
  }

  AdmittedRequest request() {
    return request;
  }

  /** Returns the relay of the event stream, which all attempts share. */
  StreamRelay relay() {
    return relay;
  }

  /** Returns the number of attempts that may have reached an upstream. */
  int attemptsSent() {
    return attemptsSent;
  }

  /** Returns the time left until the deadline of the request; negative after it. */
  Duration remainingTime() {
    return Duration.between(components.clock().instant(), request.deadline());
  }

  /** Returns the state that the crash guard keeps for the request. */
  CrashGuard.RequestGuard requestGuard() {
    return requestGuard;
  }

  /**
   * Refuses the request if it is known to crash upstreams, as waiting would not change the
   * evidence; returns whether it was refused.
   */
  private boolean refuseIfCrashing() {
    Optional<Duration> retryAfter = requestGuard.retryDelay();
    retryAfter.ifPresent(
        delay -> {
          String text =
              ErrorText.format(
                  ErrorText.get().crashesUpstreams, requestGuard.crashedProcesses().size());
          log()
              .log(
                  "refusing request %s, upstreams that it crashed: %s",
                  requestGuard, requestGuard.crashedProcesses());
          giveUp(RefusalReason.CRASHES_UPSTREAMS, text, delay);
        });
    return retryAfter.isPresent();
  }

  /** Sends the request to the next upstream, or refuses it if there is none. */
  void sendToNextUpstream() {
    if (refuseIfCrashing()) {
      return;
    }
    Optional<UpstreamSelection.CostedUpstream> chosen = choose(model());
    if (chosen.isEmpty()) {
      giveUpWithoutUpstream();
      return;
    }
    startAttempt(chosen.get());
  }

  private void giveUpWithoutUpstream() {
    String service = request.service();
    RefusalReason reason =
        components.selection().eligibility().refusalReason(service, components.clock().instant());
    String pattern =
        switch (reason) {
          case ZONES_EMPTIED -> ErrorText.get().zonesEmptied;
          case UPSTREAMS_COLD -> ErrorText.get().upstreamsCold;
          case UPSTREAMS_REST -> ErrorText.get().upstreamsRest;
          case UPSTREAMS_LIMITED -> ErrorText.get().upstreamsLimited;
          default -> ErrorText.get().noUpstream;
        };
    String text = ErrorText.format(pattern, service);
    if (reason == RefusalReason.UPSTREAMS_LIMITED) {
      giveUp(reason, text, retryAfterAtAdvertisedRate(service));
    } else {
      giveUp(reason, text);
    }
  }

  private Duration retryAfterAtAdvertisedRate(String service) {
    double advertisedRate = components.rates().totalAdvertisedRate(service);
    return components
        .retryAfterJitter()
        .spacedDelay(service, advertisedRate, components.clock().instant());
  }

  private void startAttempt(UpstreamSelection.CostedUpstream chosen) {
    versionPreference.ifPresent(
        preference -> logVersionChoice(preference, chosen.upstream().version()));
    currentAttempt = new ExchangeAttempt(this, chosen, model());
    currentAttempt.send();
  }

  /** Logs why the request is sent to this version during a roll-out. */
  private void logVersionChoice(VersionRule.VersionPreference preference, String version) {
    boolean satisfied = preference.isSatisfiedBy(version);
    if (!satisfied) {
      components.meters().count("version.wish-not-met");
    }
    preference
        .basis()
        .ifPresent(
            inputs ->
                log()
                    .log(
                        "version %s %s wanted=%b met=%b failed=%s",
                        version,
                        inputs,
                        preference.wanted(),
                        satisfied,
                        lastFailedVersion.orElse("-")));
  }

  private Optional<UpstreamSelection.CostedUpstream> choose(Optional<String> model) {
    VersionRule.PriorAttempts priorAttempts =
        new VersionRule.PriorAttempts(lastFailedVersion, firstInputs);
    versionPreference =
        components.versions().preferenceFor(request.service(), request.head(), priorAttempts);
    firstInputs =
        firstInputs.or(() -> versionPreference.flatMap(VersionRule.VersionPreference::basis));
    Optional<UpstreamSelection.CostedUpstream> untried = chooseExcluding(model, triedUpstreams);
    if (untried.isPresent() || currentAttempt == null || !route.isRepeatable()) {
      return untried;
    }
    return chooseExcluding(model, Set.of(currentAttempt.upstreamName()));
  }

  private Optional<UpstreamSelection.CostedUpstream> chooseExcluding(
      Optional<String> model, Set<String> excluded) {
    UpstreamSelection.Criteria criteria =
        new UpstreamSelection.Criteria(
            request.service(),
            versionPreference,
            model,
            request.head().generation(),
            request.body().length(),
            Set.copyOf(excluded),
            requestGuard.isSuspect());
    return components.selection().choose(criteria, components.clock().instant());
  }

  /**
   * Returns the generation parameters of the request, or {@link Generation#UNKNOWN} if it has none.
   */
  Generation generation() {
    return request.head().generation().orElse(Generation.UNKNOWN);
  }

  /** Returns the time since the request arrived. */
  Duration elapsed() {
    return Duration.between(request.arrived(), components.clock().instant());
  }

  private Optional<String> model() {
    return route.isCascade() ? Optional.of(route.models().get(stage)) : Optional.empty();
  }

  /** Records that an attempt is being sent to the upstream. */
  void recordAttempt(String upstream) {
    attemptsSent++;
    triedUpstreams.add(upstream);
  }

  /** Records that an upstream may have run the request. */
  void markMayHaveRun() {
    mayHaveRun = true;
  }

  /** Records the version on which the request failed last. */
  void recordFailedVersion(String version) {
    lastFailedVersion = Optional.of(version);
  }

  /**
   * Continues after an attempt of which nothing was written. Such an attempt costs no retry budget.
   *
   * @param cause the counter to increment
   */
  void retryUnsent(String cause) {
    attemptsSent--;
    attemptsNotSent++;
    components.meters().count(cause);
    if (attemptsNotSent < MAXIMUM_UNSENT_ATTEMPTS
        && remainingTime().compareTo(MINIMUM_ATTEMPT_TIME) > 0) {
      sendToNextUpstream();
    } else {
      giveUp(RefusalReason.NO_UPSTREAM, ErrorText.get().upstreamBroke);
    }
  }

  /**
   * A model of the cascade to try instead, and the upstream that serves it.
   *
   * @param stage the index of the model in the cascade
   * @param chosen the upstream
   */
  record Replacement(int stage, UpstreamSelection.CostedUpstream chosen) {}

  /** Returns the replacement for a response of this confidence, or empty to accept it. */
  Optional<Replacement> replacementFor(int confidence) {
    Map<String, Optional<UpstreamSelection.CostedUpstream>> choices = new HashMap<>();
    Function<String, Optional<UpstreamSelection.CostedUpstream>> upstreamOf =
        name -> choices.computeIfAbsent(name, modelName -> choose(Optional.of(modelName)));
    StageRule.LowConfidenceResponse lowConfidenceResponse =
        new StageRule.LowConfidenceResponse(
            route,
            request.service(),
            generation(),
            stage,
            confidence,
            elapsed(),
            name ->
                upstreamOf
                    .apply(name)
                    .map(UpstreamSelection.CostedUpstream::forecast)
                    .orElse(FirstTokenForecast.NEVER));
    OptionalInt nextStage = components.stages().replacementStage(lowConfidenceResponse);
    if (nextStage.isEmpty()) {
      return Optional.empty();
    }
    return upstreamOf
        .apply(route.models().get(nextStage.getAsInt()))
        .map(chosen -> new Replacement(nextStage.getAsInt(), chosen));
  }

  /** Sends the request to another model of the cascade. */
  void sendToReplacement(Replacement replacement) {
    if (refuseIfCrashing()) {
      return;
    }
    stage = replacement.stage();
    startAttempt(replacement.chosen());
  }

  /**
   * Takes a retry from the budget; returns false if the request may not be sent again.
   *
   * @param cause the suffix of the counter of the retry
   */
  boolean tryAcquireRetry(String cause) {
    boolean timeRemains = remainingTime().compareTo(MINIMUM_ATTEMPT_TIME) > 0;
    if (attemptsSent >= route.maximumAttempts() || !timeRemains) {
      components.meters().count("retry.no-attempt-left");
      return false;
    }
    if (!components.budgets().of(request.service()).tryAcquireRetry()) {
      components.meters().count("retry.not-in-budget");
      return false;
    }
    components.meters().count("retry." + cause);
    return true;
  }

  /** Refuses the request; states "not run" only while no upstream may have run it. */
  void giveUp(RefusalReason reason, String text) {
    giveUp(reason, text, retryAfterBackOff().orElse(DEFAULT_RETRY_AFTER));
  }

  private void giveUp(RefusalReason reason, String text, Duration retryAfter) {
    Refusal refusal =
        mayHaveRun
            ? Refusal.unknown(RefusalReason.UPSTREAM_FAILED, text)
            : Refusal.retryAfter(reason, text, retryAfter);
    refuse(refusal);
  }

  /** Refuses the request after the last upstream refused it. */
  void giveUpAfterRefusal() {
    if (retryAfterBackOff().isPresent()) {
      giveUpWithoutUpstream();
    } else {
      giveUp(RefusalReason.UPSTREAM_REFUSED, ErrorText.get().upstreamRefused);
    }
  }

  /**
   * Returns the retry delay while all upstreams ask to back off: the time until the first of them
   * accepts requests again, spread so that callers do not all return at once and are refused again.
   */
  private Optional<Duration> retryAfterBackOff() {
    return components
        .selection()
        .eligibility()
        .shortestBackOff(request.service(), components.clock().instant())
        .map(components.retryAfterJitter()::withJitter);
  }

  private void refuse(Refusal refusal) {
    finish("refused " + refusal.reason().text() + ": " + refusal.detail());
    components.meters().refused(refusal.reason());
    callerResponse.refuse(refusal, request.head().id());
  }

  /** Records the outcome of the request; called before its response ends. */
  void finish(String outcome) {
    components.deadlines().cancel(deadlineTimer);
    Duration duration = elapsed();
    components.meters().time("request." + route.kind().name().toLowerCase(Locale.ROOT), duration);
    log()
        .log(
            "request ended route=%s outcome=%s sent=%d stage=%d events=%d millis=%d",
            route.name(), outcome, attemptsSent, stage, relay.eventCount(), duration.toMillis());
  }

  /** Returns a log statement for the request, subject to the rate limit of such statements. */
  FluentLogger.Api log() {
    return components.logLimit().line(logger, request.head().id());
  }

  /** Returns whether enough time is left for an attempt to produce a response. */
  boolean hasTimeForAttempt() {
    return remainingTime().compareTo(MINIMUM_ATTEMPT_TIME) >= 0;
  }

  /** Refuses the request because its deadline has passed. */
  void deadlinePassed() {
    if (callerResponse.isEnded()) {
      return;
    }
    boolean possiblyRan = mayHaveRun || currentAttempt != null && currentAttempt.isOpen();
    if (currentAttempt != null) {
      currentAttempt.abandon();
    }
    String text = ErrorText.get().deadlinePassed;
    refuse(
        possiblyRan
            ? Refusal.unknown(RefusalReason.DEADLINE_PASSED, text)
            : Refusal.retryAfter(RefusalReason.OVERLOADED, text, DEFAULT_RETRY_AFTER));
  }

  private void callerDisconnected() {
    if (currentAttempt != null) {
      currentAttempt.abandon();
    }
    finish("caller disconnected");
    components.meters().count("request.caller-gone");
  }
}
