// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.http.HttpClientResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.config.Upstream;
import org.oatlug.errors.ErrorText;
import org.oatlug.errors.RefusedException;
import org.oatlug.errors.UpstreamFailedException;
import org.oatlug.errors.UpstreamFailedException.Progress;
import org.oatlug.internal.engine.UpstreamCaller;
import org.oatlug.internal.limit.AdmissionQueue;
import org.oatlug.internal.limit.Urgency;
import org.oatlug.internal.routing.RoutingDecision;
import org.oatlug.internal.routing.RoutingDecision.Route;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.util.LogKeys;

/**
 * Forwards one request to an upstream and retries it where that is safe.
 *
 * <p>Invariants: the route is decided before each attempt and revalidated immediately before bytes
 * are sent. A request that is not repeatable is not retried once a byte may have been sent, unless
 * an upstream whose refusals are trusted refused it; it is not cancelled either, so that its
 * outcome becomes known. Retries stay within the retry budget and the deadline and go to another
 * upstream. Each reservation is released exactly once. Used from one event loop.
 */
final class Forwarding {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(3);
  private static final long CONFIRMATION_POLL_MILLIS = 10;

  /** The rank of the lowest priority of a workspace, 0; the highest priority has rank 0. */
  private static final int LOWEST_RANK = 9;

  private final Services services;
  private final CallerRequest request;
  private final Plan plan;
  private final Set<String> failedUpstreams = new HashSet<>();
  private UpstreamCaller.Attempt attempt = UpstreamCaller.Attempt.validWhile(() -> true);
  private Optional<AdmissionQueue.QueuedRequest> queued = Optional.empty();
  private boolean dispatched;
  private boolean mayHaveRun;
  private boolean outcomeReported;
  private long deadlineTimer;

  Forwarding(Services services, CallerRequest request, Plan plan) {
    this.services = services;
    this.request = request;
    this.plan = plan;
  }

  /** Starts forwarding the request. */
  void start() {
    services.retries().recordTry();
    request.onDisconnect(this::callerDisconnected);
    Duration remaining = Duration.between(services.clock().instant(), request.deadline());
    long millis = Math.max(1, remaining.toMillis());
    deadlineTimer = services.vertx().setTimer(millis, unused -> deadlinePassed());
    startAttempt();
  }

  private void startAttempt() {
    whenConfirmed(services.clock().instant().plus(CONFIRMATION_TIMEOUT), this::decide);
  }

  /**
   * Runs the action once the configuration is confirmed after a process pause, or after the limit.
   */
  private void whenConfirmed(Instant timeLimit, Runnable action) {
    services.pauseDetector().check();
    boolean isLate = services.clock().instant().isAfter(timeLimit);
    if (services.tables().freshness().isConfirmed() || request.isEnded() || isLate) {
      action.run();
      return;
    }
    services.vertx().setTimer(CONFIRMATION_POLL_MILLIS, unused -> whenConfirmed(timeLimit, action));
  }

  private void decide() {
    if (request.isEnded()) {
      finishUnanswered();
      return;
    }
    if (!services.tables().freshness().isConfirmed()) {
      refuse(RefusalReason.CONFIGURATION_UNCONFIRMED, ErrorText.get().configurationUnconfirmed);
      return;
    }
    if (!tryRoute()) {
      waitForCapacity();
    }
  }

  /** Queues the request at this instance until an upstream has capacity, or refuses it at once. */
  private void waitForCapacity() {
    Instant now = services.clock().instant();
    Instant firstByteDeadline = now.plusMillis(services.settings().limits().firstByteMillis());
    Instant deadline =
        firstByteDeadline.isBefore(request.deadline()) ? firstByteDeadline : request.deadline();
    Instant latestStart = now.plus(Duration.between(now, deadline).dividedBy(2));
    Urgency urgency =
        new Urgency(LOWEST_RANK - request.workspace().priority(), deadline, latestStart);
    AdmissionQueue.QueuedRequest queuedRequest =
        new AdmissionQueue.QueuedRequest(
            plan.target(),
            urgency,
            latestStart,
            latestStart,
            this::tryRoute,
            () -> refuse(RefusalReason.OVERLOADED, ErrorText.get().overloaded),
            wait -> end(overloaded(wait)));
    services.meters().count("line.asked");
    services
        .admissionQueue()
        .enqueue(queuedRequest, now)
        .ifPresentOrElse(
            rejection -> end(overloaded(rejection.predictedWait())),
            () -> queued = Optional.of(queuedRequest));
  }

  private Refusal overloaded(Duration wait) {
    String text = ErrorText.get().overloaded;
    return mayHaveRun
        ? Refusal.unknown(RefusalReason.OVERLOADED, text)
        : Refusal.retryAfter(RefusalReason.OVERLOADED, text, wait);
  }

  /** Decides the route and starts an attempt; returns false if no upstream has capacity. */
  private boolean tryRoute() {
    if (request.isEnded()) {
      finishUnanswered();
      return true;
    }
    RoutingDecision decision = plan.decide(Set.copyOf(failedUpstreams), services.clock().instant());
    if (decision.refusal().equals(Optional.of(RefusalReason.OVERLOADED))) {
      return false;
    }
    if (decision.route().isEmpty()) {
      refuseDecision(decision);
      return true;
    }
    Route route = decision.route().get();
    UpstreamRow row = services.tables().upstreams().row(route.upstream());
    row.reserve();
    plan.prepare(route)
        .subscribe()
        .with(unused -> prepared(route, row), failure -> preparationFailed(row, failure));
    return true;
  }

  /** Releases the reservation and serves the queued requests. */
  private void release(UpstreamRow row) {
    row.release();
    Instant now = services.clock().instant();
    services.vertx().runOnContext(unused -> services.admissionQueue().serve(now));
  }

  private void prepared(Route route, UpstreamRow row) {
    Instant timeLimit = services.clock().instant().plus(CONFIRMATION_TIMEOUT);
    whenConfirmed(timeLimit, () -> dispatch(route, row));
  }

  private void preparationFailed(UpstreamRow row, Throwable failure) {
    release(row);
    if (failure instanceof RefusedException refused) {
      end(refused.refusal());
    } else {
      logger
          .atSevere()
          .withCause(failure)
          .with(LogKeys.REQUEST_ID, request.id())
          .log("failed to prepare the request");
      refuse(RefusalReason.LEDGER_UNAVAILABLE, ErrorText.get().ledgerUnavailable);
    }
  }

  private void dispatch(Route route, UpstreamRow row) {
    if (request.isEnded()) {
      release(row);
      finishUnanswered();
      return;
    }
    if (!isRouteValid(route, row)) {
      routeChanged(row);
      return;
    }
    Upstream upstream = services.tables().catalogue().upstream(route.upstream()).orElseThrow();
    attempt = UpstreamCaller.Attempt.validWhile(() -> isRouteValid(route, row));
    dispatched = true;
    Instant sent = services.clock().instant();
    services
        .caller()
        .send(route.upstream(), upstream, plan.call(route), attempt)
        .onComplete(
            response -> handleResponse(route, row, sent, response),
            failure -> attemptFailed(route, row, upstream, failure));
  }

  private boolean isRouteValid(Route route, UpstreamRow row) {
    Optional<Upstream> upstream = services.tables().catalogue().upstream(route.upstream());
    boolean isRemoved = upstream.isEmpty() || upstream.get().leaving() || row.isLeaving();
    boolean isBackingOff = row.isBackingOff(services.clock().instant());
    return !isRemoved
        && !isBackingOff
        && services.tables().freshness().isConfirmed()
        && plan.stillAllowed(route);
  }

  private void routeChanged(UpstreamRow row) {
    services.meters().count("retry.route-changed");
    release(row);
    startAttempt();
  }

  private void handleResponse(
      Route route, UpstreamRow row, Instant sent, HttpClientResponse response) {
    Duration timeToFirstByte = Duration.between(sent, services.clock().instant());
    services.meters().time("upstream.first-byte", timeToFirstByte);
    plan.handleResponse(
        route,
        response,
        new Plan.ResponseListener() {
          @Override
          public void completed() {
            responseCompleted(row);
            outcomeReported = true;
          }

          @Override
          public void escalated() {
            responseCompleted(row);
            mayHaveRun = true;
            services.meters().count("retry.cascade-escalation");
            startAttempt();
          }

          @Override
          public void interrupted(String problem) {
            release(row);
            responseInterrupted(route, row, problem);
          }
        });
  }

  private void responseCompleted(UpstreamRow row) {
    release(row);
    row.recordSuccess(services.clock().instant());
    services.vertx().cancelTimer(deadlineTimer);
  }

  private void responseInterrupted(Route route, UpstreamRow row, String problem) {
    mayHaveRun = true;
    dispatched = false;
    if (request.isEnded()) {
      finishUnanswered();
      return;
    }
    logger
        .atWarning()
        .with(LogKeys.REQUEST_ID, request.id())
        .log("the response of %s was interrupted: %s", route.upstream(), problem);
    row.recordFailure(services.clock().instant());
    plan.attemptFailed(route);
    failedUpstreams.add(route.upstream());
    boolean isHeadWritten = request.response().headWritten();
    if (!isHeadWritten && plan.isRepeatable() && mayRetry("answer-broken")) {
      startAttempt();
      return;
    }
    String text = ErrorText.format(ErrorText.get().upstreamFailed, route.upstream(), problem);
    refuse(RefusalReason.UPSTREAM_FAILED, text);
  }

  private void attemptFailed(Route route, UpstreamRow row, Upstream upstream, Throwable failure) {
    dispatched = false;
    UpstreamFailedException upstreamFailure =
        failure instanceof UpstreamFailedException typed
            ? typed
            : new UpstreamFailedException(
                route.upstream(), Progress.SENT, failure.getClass().getSimpleName());
    boolean isUnsent = upstreamFailure.progress() == Progress.NOT_SENT;
    if (isUnsent && !request.isEnded() && !isRouteValid(route, row)) {
      routeChanged(row);
      return;
    }
    release(row);
    boolean isTrustedRefusal =
        upstreamFailure.progress() == Progress.REFUSED && upstream.trustedRefusals();
    boolean attemptMayHaveRun = !isUnsent && !isTrustedRefusal;
    mayHaveRun |= attemptMayHaveRun;
    if (request.isEnded()) {
      finishUnanswered();
      return;
    }
    recordFailure(row, upstreamFailure);
    failedUpstreams.add(route.upstream());
    if (upstreamFailure.progress() == Progress.SENT) {
      plan.attemptFailed(route);
    }
    boolean isRetryable = !attemptMayHaveRun || plan.isRepeatable();
    if (isRetryable
        && mayRetry(upstreamFailure.progress().name().toLowerCase(Locale.ROOT).replace('_', '-'))) {
      startAttempt();
      return;
    }
    boolean isRefused = upstreamFailure.progress() == Progress.REFUSED;
    refuse(
        isRefused ? RefusalReason.UPSTREAM_REFUSED : RefusalReason.UPSTREAM_FAILED,
        upstreamFailure.getMessage());
  }

  /**
   * Records a failed attempt. An upstream that sheds load and asks to back off is not counted as
   * failed; it is excluded until the back-off ends.
   */
  private void recordFailure(UpstreamRow row, UpstreamFailedException failure) {
    Instant now = services.clock().instant();
    failure
        .retryAfter()
        .ifPresentOrElse(
            backOff -> row.extendBackOff(now.plus(backOff)), () -> row.recordFailure(now));
  }

  private boolean mayRetry(String cause) {
    boolean beforeDeadline = services.clock().instant().isBefore(request.deadline());
    if (!beforeDeadline || !services.retries().tryAcquireRetry()) {
      services.meters().count("retry.not-in-budget");
      return false;
    }
    services.meters().count("retry.upstream-" + cause);
    return true;
  }

  private void refuseDecision(RoutingDecision decision) {
    RefusalReason reason = decision.refusal().orElse(RefusalReason.NO_UPSTREAM);
    ErrorText texts = ErrorText.get();
    String pattern =
        switch (reason) {
          case MODEL_UNKNOWN -> texts.modelUnknown;
          case NOT_ALLOWED -> texts.notAllowed;
          case VERSION_WITHDRAWN -> texts.versionWithdrawn;
          default -> texts.noUpstream;
        };
    refuse(reason, ErrorText.format(pattern, plan.target()));
  }

  private void refuse(RefusalReason reason, String text) {
    if (mayHaveRun || dispatched) {
      end(Refusal.unknown(reason, text));
      return;
    }
    boolean isTransient = reason.status() >= RefusalReason.UPSTREAM_FAILED.status();
    end(isTransient ? Refusal.retryAfter(reason, text, RETRY_AFTER) : Refusal.notRun(reason, text));
  }

  private void end(Refusal refusal) {
    finishUnanswered();
    request.refuse(refusal);
  }

  private void finishUnanswered() {
    services.vertx().cancelTimer(deadlineTimer);
    if (!outcomeReported) {
      outcomeReported = true;
      plan.unanswered(mayHaveRun || dispatched);
    }
  }

  /** Cancels only a repeatable request, since the outcome of any other must still be recorded. */
  private void callerDisconnected() {
    if (plan.isRepeatable()) {
      attempt.cancel();
    }
    if (queued.map(services.admissionQueue()::remove).orElse(false)) {
      finishUnanswered();
    }
  }

  private void deadlinePassed() {
    if (request.isEnded()) {
      return;
    }
    String text = ErrorText.get().deadlinePassed;
    if (plan.isRepeatable()) {
      refuse(RefusalReason.DEADLINE_PASSED, text);
      attempt.cancel();
    } else if (mayHaveRun || dispatched) {
      request.refuse(Refusal.unknown(RefusalReason.DEADLINE_PASSED, text));
    } else {
      request.refuse(Refusal.notRun(RefusalReason.DEADLINE_PASSED, text));
    }
  }
}
