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
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.ErrorText;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.WorkspaceKeys;
import org.oatlug.internal.engine.FirstTokenForecast;
import org.oatlug.internal.forward.ForwardedRequest;
import org.oatlug.internal.forward.Receiver;
import org.oatlug.internal.limit.Urgency;

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

  /** With less time left than this, an attempt cannot produce a response. */
  private static final Duration MINIMUM_ATTEMPT_TIME = Duration.ofMillis(30);

  /** The number of attempts without any written byte after which the request is refused. */
  private static final int MAXIMUM_UNSENT_ATTEMPTS = 4;

  /** The part of the latency goal for which a request waits for a place at a brittle upstream. */
  private static final double MAXIMUM_WAIT_SHARE = 0.2;

  private static final long PLACE_POLL_MILLIS = 20;

  /** Retry delay after an error of this instance: the caller is to use another one. */
  private static final Duration ERROR_RETRY_DELAY = Duration.ofMillis(20);

  private static final long NO_TIMER = -1;

  private final GatewayComponents components;
  private final CallerResponse callerResponse;
  private final AdmittedRequest request;
  private final Route route;
  private final Set<String> triedInstances = new HashSet<>();
  private final ServiceRefusals refusals;
  private final StreamRelay relay;
  private final CrashGuard.RequestGuard requestGuard;
  private final UpstreamChoice upstreams;
  private final Optional<RequestWait> wait;
  private final RefusedCallers.Try callerTry;
  private final Runnable onWritten;
  private long deadlineTimer = NO_TIMER;
  private int attemptsSent;
  private int attemptsNotSent;
  private int stage;
  private boolean mayHaveRun;
  private Attempt currentAttempt;

  /** The number of attempts that the current one may use; a receiver may use several. */
  private int attemptsOfCurrent;

  private Exchange(
      GatewayComponents components,
      CallerResponse callerResponse,
      AdmittedRequest request,
      Runnable onWritten) {
    this.onWritten = onWritten;
    this.components = components;
    this.callerResponse = callerResponse;
    this.request = request;
    this.route = request.route();
    this.callerTry = components.refusedCallers().tryOf(request);
    this.refusals = new ServiceRefusals(components, callerTry);
    this.relay = StreamRelay.after(request.resumeAfter(), components.bodyMemory());
    this.requestGuard = components.crashes().guard(request);
    this.upstreams = UpstreamChoice.of(components, request, requestGuard);
    this.wait = components.requestQueue().waitOf(this);
  }

  /**
   * Starts handling a request and returns its exchange.
   *
   * @param onWritten called at each attempt that is about to be written
   */
  static Exchange start(
      GatewayComponents components,
      CallerResponse callerResponse,
      AdmittedRequest request,
      Runnable onWritten) {
    Exchange exchange = new Exchange(components, callerResponse, request, onWritten);
    exchange.run(exchange::start);
    return exchange;
  }

  private void start() {
    if (refuseIfCrashing()) {
      return;
    }
    callerTry.arrive();
    deadlineTimer = components.deadlines().schedule(request.deadline(), this::deadlinePassed);
    callerResponse.onDisconnect(this::callerDisconnected);
    callerResponse.bufferUnread(components.readAhead(), request);
    // A forwarded request is counted by the instance that admitted it.
    if (request.forwarded().isEmpty()) {
      components.budgets().of(request.service()).recordTry();
      recordDemand();
    }
    stage = firstStage();
    components.dispatchQueue().enqueue(this);
  }

  /** Runs a step of the exchange; an error ends the request. */
  void run(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      fail(e);
    }
  }

  /** Ends the request because a step of its handling failed in an unknown state. */
  void fail(Throwable error) {
    components.errors().record(error);
    if (callerResponse.isEnded()) {
      return;
    }
    try {
      boolean possiblyRan = mayHaveRun || isAttemptOpen();
      abandonAttempt();
      String text = ErrorText.get().internalError;
      refuse(
          possiblyRan
              ? failed(text)
              : Refusal.retryAfter(RefusalReason.INTERNAL_ERROR, text, ERROR_RETRY_DELAY));
    } catch (RuntimeException | Error e) {
      components.errors().record(e);
      callerResponse.abort();
    }
  }

  private boolean isAttemptOpen() {
    return currentAttempt != null && currentAttempt.isOpen();
  }

  private void abandonUnansweredAttempt() {
    if (currentAttempt != null) {
      currentAttempt.recordUnanswered();
    }
    abandonAttempt();
  }

  private void abandonAttempt() {
    if (currentAttempt != null) {
      currentAttempt.abandon();
    }
  }

  private void recordDemand() {
    request
        .workspace()
        .ifPresent(
            workspace ->
                components
                    .shares()
                    .recordDemand(
                        workspace.name(),
                        components.work().expected(request),
                        components.clock().instant()));
  }

  private int firstStage() {
    if (!route.isCascade()) {
      return 0;
    }
    return request.forwarded().map(ForwardedRequest::stage).orElse(OptionalInt.empty()).stream()
        .filter(begun -> begun >= 0 && begun < route.models().size())
        .findFirst()
        .orElseGet(() -> components.stages().firstStage(route));
  }

  /** Sends the request to its first upstream; returns false if it could no longer be served. */
  boolean sendFirst() {
    try {
      return trySendFirst();
    } catch (RuntimeException | Error e) {
      fail(e);
      return false;
    }
  }

  private boolean trySendFirst() {
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

  /** Returns the urgency of the request among those that wait. */
  Urgency urgency() {
    return request.urgency(callerTry.isReturnedInTime());
  }

  /** Returns the urgency of the request while refused connections bound the wait. */
  Urgency urgencyOfBoundedWait() {
    return request.urgencyOfBoundedWait(callerTry.isReturnedInTime());
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
  boolean refuseIfCrashing() {
    Optional<CrashGuard.Hold> hold = requestGuard.hold();
    hold.ifPresent(this::refuseAsCrashing);
    return hold.isPresent();
  }

  private void refuseAsCrashing(CrashGuard.Hold hold) {
    log().log("refusing request %s, upstreams that it crashed: %s", requestGuard, hold.processes());
    String text = ErrorText.format(ErrorText.get().crashesUpstreams, hold.processes().size());
    RefusalReason reason = RefusalReason.CRASHES_UPSTREAMS;
    hold.retryAfter()
        .ifPresentOrElse(
            delay -> giveUp(reason, text, () -> delay),
            () -> refuse(mayHaveRun ? failed(text) : Refusal.notRun(reason, text)));
  }

  private static Refusal failed(String text) {
    return Refusal.unknown(RefusalReason.UPSTREAM_FAILED, text);
  }

  /**
   * Sends the request to the next upstream or, if this instance reaches none, to another instance;
   * refuses it if there is none either.
   */
  void sendToNextUpstream() {
    if (refuseIfCrashing()) {
      return;
    }
    if (components.canSendTo(request.service())) {
      sendToUpstream();
    } else if (request.forwarded().isEmpty()) {
      components
          .forwarding()
          .receivers()
          .choose(
              request.service(),
              Set.copyOf(triedInstances),
              receiver -> run(() -> receiverChosen(receiver)));
    } else {
      giveUpUnreachable();
    }
  }

  private void receiverChosen(Optional<Receiver> receiver) {
    if (callerResponse.isEnded()) {
      return;
    }
    if (receiver.isEmpty()) {
      sendToUntestedUpstream();
      return;
    }
    currentAttempt = ForwardedAttempt.create(this, receiver.get(), forwardedRequest());
    currentAttempt.send();
  }

  private ForwardedRequest forwardedRequest() {
    int attemptsLeft = request.maximumAttempts() - attemptsSent;
    return new ForwardedRequest(
        route.name(),
        request.service(),
        request.workspace().map(WorkspaceKeys::name),
        Math.max(1, remainingTime().toMillis()),
        // One attempt is kept for the case that the receiver is lost.
        Math.max(1, attemptsLeft - 1),
        upstreams.sentUpstreams(),
        upstreams.lastFailedVersion(),
        attemptsSent > 0 && route.isCascade() ? OptionalInt.of(stage) : OptionalInt.empty(),
        relay.lastEventId());
  }

  /** Sends the request to an upstream whose last connection has not failed, or refuses it. */
  private void sendToUntestedUpstream() {
    Optional<UpstreamSelection.CostedUpstream> untested =
        upstreams
            .next(model())
            .filter(chosen -> !components.paths().hasFailed(request.service(), chosen.name()));
    if (untested.isPresent()) {
      startAttempt(untested.get());
    } else if (components.paths().isLost(request.service())) {
      giveUpUnreachable();
    } else {
      giveUpWithoutUpstream();
    }
  }

  private void giveUpUnreachable() {
    String text = ErrorText.format(ErrorText.get().upstreamsUnreachable, request.service());
    giveUp(RefusalReason.UPSTREAMS_UNREACHABLE, text);
  }

  private void sendToUpstream() {
    Optional<UpstreamSelection.CostedUpstream> chosen = upstreams.next(model());
    if (chosen.isEmpty()) {
      giveUpWithoutUpstream();
      return;
    }
    sendOrWait(chosen.get());
  }

  /** Sends the request to the upstream; one that may wait is sent when an upstream has room. */
  private void sendOrWait(UpstreamSelection.CostedUpstream best) {
    wait.ifPresentOrElse(waiting -> waiting.send(best), () -> startAttempt(best));
  }

  /** Returns the next upstream among those that satisfy the condition. */
  Optional<UpstreamSelection.CostedUpstream> choose(
      Predicate<UpstreamSelection.CostedUpstream> condition) {
    return upstreams.next(model(), condition);
  }

  private void giveUpWithoutUpstream() {
    RefusalReason reason = refusals.reasonWithoutUpstream(request.service());
    if (reason == RefusalReason.UPSTREAMS_BRITTLE && mayWait()) {
      components.vertx().setTimer(PLACE_POLL_MILLIS, unused -> run(this::sendAfterWait));
      return;
    }
    giveUp(
        reason,
        ServiceRefusals.textWithoutUpstream(reason, request.service()),
        () -> refusals.retryAfter(reason, request.service()));
  }

  /**
   * Refuses the request because it cannot wait for room.
   *
   * @param predictedWait the time until there would be room for it
   */
  void giveUpForRoom(Duration predictedWait) {
    giveUp(
        RefusalReason.OVERLOADED,
        ErrorText.get().overloaded,
        () -> refusals.returnDelay(predictedWait));
  }

  /** Returns whether the wait for a place is short compared to the time of a useful answer. */
  private boolean mayWait() {
    Duration maximum = Duration.ofMillis((long) (route.goalMillis() * MAXIMUM_WAIT_SHARE));
    return elapsed().compareTo(maximum) < 0 && hasTimeForAttempt();
  }

  private void sendAfterWait() {
    if (!callerResponse.isEnded()) {
      sendToNextUpstream();
    }
  }

  /** Sends the request to the upstream now. */
  void startAttempt(UpstreamSelection.CostedUpstream chosen) {
    upstreams.logVersion(chosen.upstream().version(), this::log);
    currentAttempt = new ExchangeAttempt(this, chosen, model());
    currentAttempt.send();
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

  /** Returns the model to ask next, empty if the caller names it. */
  Optional<String> model() {
    return route.isCascade() ? Optional.of(route.models().get(stage)) : Optional.empty();
  }

  /** Records that an attempt is being sent to the upstream. */
  void recordAttempt(String upstream) {
    attemptsOfCurrent = 1;
    attemptsSent++;
    upstreams.recordSent(upstream);
  }

  /** Records that the request is being sent to an instance, which may use so many attempts. */
  void recordForwarding(String instance, int attempts) {
    attemptsOfCurrent = attempts;
    attemptsSent += attempts;
    triedInstances.add(instance);
  }

  /** Records that the current attempt is about to be written. */
  void recordWritten() {
    onWritten.run();
  }

  /** Returns whether an upstream may have run the request. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Records that an upstream may have run the request. */
  void markMayHaveRun() {
    mayHaveRun = true;
  }

  /** Records the version on which the request failed last. */
  void recordFailedVersion(String version) {
    upstreams.recordFailedVersion(version);
  }

  /**
   * Continues after an attempt of which nothing was written. Such an attempt costs no retry budget.
   *
   * @param cause the counter to increment
   */
  void retryUnsent(String cause) {
    attemptsSent -= attemptsOfCurrent;
    upstreams.recordNotSent(currentAttempt.targetName());
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
        name -> choices.computeIfAbsent(name, modelName -> upstreams.next(Optional.of(modelName)));
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
    // A response was dropped for this one, and its value was computed for a request sent now.
    startAttempt(replacement.chosen());
  }

  /**
   * Takes a retry from the budget; returns false if the request may not be sent again.
   *
   * @param cause the suffix of the counter of the retry
   */
  boolean tryAcquireRetry(String cause) {
    boolean timeRemains = remainingTime().compareTo(MINIMUM_ATTEMPT_TIME) > 0;
    if (attemptsSent >= request.maximumAttempts() || !timeRemains) {
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
    giveUp(reason, text, () -> refusals.retryAfter(request.service()));
  }

  /** Refuses the request with a retry delay; states "not run" only while that is true. */
  private void giveUp(RefusalReason reason, String text, Supplier<Duration> retryAfter) {
    refuse(mayHaveRun ? failed(text) : Refusal.retryAfter(reason, text, retryAfter.get()));
  }

  /** Refuses the request after the last upstream refused it. */
  void giveUpAfterRefusal() {
    if (refusals.retryAfterBackOff(request.service()).isPresent()) {
      giveUpWithoutUpstream();
    } else {
      giveUp(RefusalReason.UPSTREAM_REFUSED, ErrorText.get().upstreamRefused);
    }
  }

  private void refuse(Refusal refusal) {
    Refusal recorded = callerTry.record(refusal);
    finish(
        "refused "
            + recorded.reason().text()
            + ": "
            + recorded.detail()
            + callerTry.describe(recorded));
    components.meters().refused(recorded.reason());
    callerResponse.refuse(recorded, request.head().id());
  }

  /** Records that the response was delivered; called before it ends. */
  void finishServed(String outcome) {
    components.refusedCallers().recordCompleted(request.service());
    finish(outcome);
  }

  /** Records the outcome of the request; called before its response ends. */
  void finish(String outcome) {
    components.deadlines().cancel(deadlineTimer);
    wait.ifPresent(RequestWait::exchangeEnded);
    relay.release();
    components.work().recordGenerated(request, relay.eventCount());
    Duration duration = elapsed();
    components.meters().time("request." + route.kind().name().toLowerCase(Locale.ROOT), duration);
    log()
        .log(
            "request ended route=%s outcome=%s sent=%d stage=%d events=%d millis=%d%s",
            route.name(),
            outcome,
            attemptsSent,
            stage,
            relay.eventCount(),
            duration.toMillis(),
            unreadField());
  }

  /** Returns the log field for the bytes that still wait for the caller, empty for none. */
  private String unreadField() {
    long unreadBytes = callerResponse.unreadBytes();
    return unreadBytes > 0 ? " unreadBytes=" + unreadBytes : "";
  }

  /** Returns a log statement for the request, subject to the rate limit of such statements. */
  FluentLogger.Api log() {
    return components.logLimit().line(logger, request.head().id());
  }

  /** Returns whether enough time is left for an attempt to produce a response. */
  boolean hasTimeForAttempt() {
    return remainingTime().compareTo(MINIMUM_ATTEMPT_TIME) >= 0;
  }

  /**
   * Checks once more, before the request is written, that its caller is connected and time is left;
   * returns whether the attempt was ended instead. On a busy instance the disconnect of the caller
   * may not have been processed yet, and nobody would receive the response.
   */
  boolean withholdsFrom(Attempt attempt) {
    if (callerResponse.isCallerDisconnected()) {
      attempt.withhold("the caller disconnected");
      components.meters().count("request.withheld-caller-left");
      return true;
    }
    if (!hasTimeForAttempt()) {
      attempt.withhold("too little time is left");
      deadlinePassed();
      return true;
    }
    return false;
  }

  /** Refuses the request because its deadline has passed. */
  void deadlinePassed() {
    if (callerResponse.isEnded()) {
      return;
    }
    boolean possiblyRan = mayHaveRun || isAttemptOpen();
    abandonUnansweredAttempt();
    String text = ErrorText.get().deadlinePassed;
    refuse(
        possiblyRan
            ? Refusal.unknown(RefusalReason.DEADLINE_PASSED, text)
            : Refusal.retryAfter(
                RefusalReason.OVERLOADED, text, refusals.returnDelay(Duration.ZERO)));
  }

  /** Ends the request because the process is about to end. */
  void endForShutdown() {
    if (callerResponse.isEnded()) {
      return;
    }
    boolean possiblyRan = mayHaveRun || isAttemptOpen();
    abandonAttempt();
    refuse(
        possiblyRan
            ? Refusal.unknown(RefusalReason.DEADLINE_PASSED, ErrorText.get().stoppedBeforeAnswer)
            : Refusal.retryAfter(
                RefusalReason.STOPPING, ErrorText.get().stopping, ERROR_RETRY_DELAY));
  }

  private void callerDisconnected() {
    abandonUnansweredAttempt();
    finish("caller disconnected");
    components.meters().count("request.caller-gone");
  }
}
