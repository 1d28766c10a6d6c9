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
import org.oatlug.internal.limit.WaitingLine;
import org.oatlug.internal.routing.RoutingDecision;
import org.oatlug.internal.routing.RoutingDecision.Route;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.util.LogKeys;

/**
 * Brings one request to an upstream and retries where that is safe.
 *
 * <p>Invariants: where a request goes is decided anew before each attempt and checked last before
 * bytes leave. A request that may not be repeated is not tried again once a byte may have left,
 * unless an upstream whose refusals are trusted refused it; it is not cancelled either, so that its
 * outcome is known. Retries stay within the retry budget and the deadline and go to another
 * upstream. Each reservation is released once. Used from one event loop.
 */
final class Forwarding {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration COME_BACK = Duration.ofSeconds(1);
  private static final Duration CONFIRM_PATIENCE = Duration.ofSeconds(3);
  private static final long CONFIRM_POLL_MILLIS = 10;

  private final Services services;
  private final CallerRequest request;
  private final Plan plan;
  private final Set<String> failed = new HashSet<>();
  private UpstreamCaller.Attempt attempt = UpstreamCaller.Attempt.whileRight(() -> true);
  private boolean dispatched;
  private boolean mayHaveRun;
  private boolean reported;
  private long deadlineTimer;

  Forwarding(Services services, CallerRequest request, Plan plan) {
    this.services = services;
    this.request = request;
    this.plan = plan;
  }

  /** Starts the request. */
  void start() {
    services.retries().firstTry();
    request.onGone(this::callerGone);
    Duration left = Duration.between(services.clock().instant(), request.deadline());
    long millis = Math.max(1, left.toMillis());
    deadlineTimer = services.vertx().setTimer(millis, unused -> deadlinePassed());
    tryOnce();
  }

  private void tryOnce() {
    whenConfirmed(services.clock().instant().plus(CONFIRM_PATIENCE), this::decide);
  }

  /** Waits until the configuration is confirmed after a pause of the process. */
  private void whenConfirmed(Instant limit, Runnable then) {
    services.pause().check();
    boolean late = services.clock().instant().isAfter(limit);
    if (services.tables().freshness().isConfirmed() || request.isEnded() || late) {
      then.run();
      return;
    }
    services.vertx().setTimer(CONFIRM_POLL_MILLIS, unused -> whenConfirmed(limit, then));
  }

  private void decide() {
    if (request.isEnded()) {
      unanswered();
      return;
    }
    if (!services.tables().freshness().isConfirmed()) {
      refuse(RefusalReason.CONFIGURATION_UNCONFIRMED, ErrorText.get().configurationUnconfirmed);
      return;
    }
    if (!findsPlace()) {
      waitInLine();
    }
  }

  /** Waits at this instance until an upstream has a place, or refuses at once. */
  private void waitInLine() {
    Instant now = services.clock().instant();
    Instant longest = now.plusMillis(services.settings().limits().firstByteMillis());
    Instant deadline = longest.isBefore(request.deadline()) ? longest : request.deadline();
    WaitingLine.Waiting waiting =
        new WaitingLine.Waiting(
            plan.target(),
            request.workspace().priority(),
            deadline,
            this::findsPlace,
            () -> refuse(RefusalReason.OVERLOADED, ErrorText.get().overloaded));
    services.meters().count("line.asked");
    services.line().enter(waiting, now).ifPresent(wait -> end(overloaded(wait)));
  }

  private Refusal overloaded(Duration wait) {
    String text = ErrorText.get().overloaded;
    return mayHaveRun
        ? Refusal.unknown(RefusalReason.OVERLOADED, text)
        : Refusal.retryAfter(RefusalReason.OVERLOADED, text, wait);
  }

  /** Decides where the request goes; returns false if it has to wait for a place. */
  private boolean findsPlace() {
    if (request.isEnded()) {
      unanswered();
      return true;
    }
    RoutingDecision decision = plan.decide(Set.copyOf(failed), services.clock().instant());
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
        .with(unused -> prepared(route, row), failure -> unprepared(row, failure));
    return true;
  }

  /** Gives the place back, and lets those that wait try for it. */
  private void release(UpstreamRow row) {
    row.release();
    Instant now = services.clock().instant();
    services.line().freed(now);
    services.vertx().runOnContext(unused -> services.line().serve(now));
  }

  private void prepared(Route route, UpstreamRow row) {
    Instant limit = services.clock().instant().plus(CONFIRM_PATIENCE);
    whenConfirmed(limit, () -> dispatch(route, row));
  }

  private void unprepared(UpstreamRow row, Throwable failure) {
    release(row);
    if (failure instanceof RefusedException refused) {
      end(refused.refusal());
    } else {
      logger
          .atSevere()
          .withCause(failure)
          .with(LogKeys.REQUEST_ID, request.id())
          .log("the request was not prepared");
      refuse(RefusalReason.LEDGER_UNAVAILABLE, ErrorText.get().ledgerUnavailable);
    }
  }

  private void dispatch(Route route, UpstreamRow row) {
    if (request.isEnded()) {
      release(row);
      unanswered();
      return;
    }
    if (!isStillRight(route, row)) {
      routeChanged(row);
      return;
    }
    Upstream upstream = services.tables().catalogue().upstream(route.upstream()).orElseThrow();
    attempt = UpstreamCaller.Attempt.whileRight(() -> isStillRight(route, row));
    dispatched = true;
    Instant sent = services.clock().instant();
    services
        .caller()
        .send(route.upstream(), upstream, plan.call(route), attempt)
        .onComplete(
            response -> answered(route, row, sent, response),
            failure -> attemptFailed(route, row, upstream, failure));
  }

  private boolean isStillRight(Route route, UpstreamRow row) {
    Optional<Upstream> upstream = services.tables().catalogue().upstream(route.upstream());
    boolean gone = upstream.isEmpty() || upstream.get().leaving() || row.leaving();
    boolean rests = row.isResting(services.clock().instant());
    return !gone
        && !rests
        && services.tables().freshness().isConfirmed()
        && plan.stillAllowed(route);
  }

  private void routeChanged(UpstreamRow row) {
    services.meters().count("retry.route-changed");
    release(row);
    tryOnce();
  }

  private void answered(Route route, UpstreamRow row, Instant sent, HttpClientResponse response) {
    Duration toFirstByte = Duration.between(sent, services.clock().instant());
    services.meters().time("upstream.first-byte", toFirstByte);
    plan.answered(
        route,
        response,
        new Plan.Ending() {
          @Override
          public void whole() {
            answerTaken(row);
            reported = true;
          }

          @Override
          public void escalate() {
            answerTaken(row);
            mayHaveRun = true;
            services.meters().count("retry.cascade-escalation");
            tryOnce();
          }

          @Override
          public void broken(String problem) {
            release(row);
            answerBroken(route, row, problem);
          }
        });
  }

  private void answerTaken(UpstreamRow row) {
    release(row);
    row.succeeded(services.clock().instant());
    services.vertx().cancelTimer(deadlineTimer);
  }

  private void answerBroken(Route route, UpstreamRow row, String problem) {
    mayHaveRun = true;
    dispatched = false;
    if (request.isEnded()) {
      unanswered();
      return;
    }
    logger
        .atWarning()
        .with(LogKeys.REQUEST_ID, request.id())
        .log("the answer of %s broke off: %s", route.upstream(), problem);
    row.failed(services.clock().instant());
    plan.attemptFailed(route);
    failed.add(route.upstream());
    boolean begun = request.response().headWritten();
    if (!begun && plan.isRepeatable() && mayRetry("answer-broken")) {
      tryOnce();
      return;
    }
    String text = ErrorText.format(ErrorText.get().upstreamFailed, route.upstream(), problem);
    refuse(RefusalReason.UPSTREAM_FAILED, text);
  }

  private void attemptFailed(Route route, UpstreamRow row, Upstream upstream, Throwable failure) {
    dispatched = false;
    UpstreamFailedException known =
        failure instanceof UpstreamFailedException typed
            ? typed
            : new UpstreamFailedException(
                route.upstream(), Progress.SENT, failure.getClass().getSimpleName());
    boolean unsent = known.progress() == Progress.NOT_SENT;
    if (unsent && !request.isEnded() && !isStillRight(route, row)) {
      routeChanged(row);
      return;
    }
    release(row);
    boolean trusted = known.progress() == Progress.REFUSED && upstream.trustedRefusals();
    boolean ran = !unsent && !trusted;
    mayHaveRun |= ran;
    if (request.isEnded()) {
      unanswered();
      return;
    }
    noteFailure(row, known);
    failed.add(route.upstream());
    if (known.progress() == Progress.SENT) {
      plan.attemptFailed(route);
    }
    boolean safe = !ran || plan.isRepeatable();
    if (safe && mayRetry(known.progress().name().toLowerCase(Locale.ROOT).replace('_', '-'))) {
      tryOnce();
      return;
    }
    boolean refused = known.progress() == Progress.REFUSED;
    refuse(
        refused ? RefusalReason.UPSTREAM_REFUSED : RefusalReason.UPSTREAM_FAILED,
        known.getMessage());
  }

  /** One that sheds load and asks for rest has not failed, and gets the rest. */
  private void noteFailure(UpstreamRow row, UpstreamFailedException failure) {
    Instant now = services.clock().instant();
    failure.rest().ifPresentOrElse(rest -> row.restUntil(now.plus(rest)), () -> row.failed(now));
  }

  private boolean mayRetry(String cause) {
    boolean inTime = services.clock().instant().isBefore(request.deadline());
    if (!inTime || !services.retries().takeRetry()) {
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
    boolean passing = reason.status() >= RefusalReason.UPSTREAM_FAILED.status();
    end(passing ? Refusal.retryAfter(reason, text, COME_BACK) : Refusal.notRun(reason, text));
  }

  private void end(Refusal refusal) {
    unanswered();
    request.refuse(refusal);
  }

  private void unanswered() {
    services.vertx().cancelTimer(deadlineTimer);
    if (!reported) {
      reported = true;
      plan.unanswered(mayHaveRun || dispatched);
    }
  }

  /** The outcome of a request that may not be repeated is still wanted when its caller is not. */
  private void callerGone() {
    if (plan.isRepeatable()) {
      attempt.cancel();
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
