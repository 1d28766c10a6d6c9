// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import java.time.Instant;
import java.util.Optional;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.config.Workspace;
import org.oatlug.errors.ErrorText;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.session.SessionToken;
import org.oatlug.internal.util.LogKeys;

/**
 * One admitted request of a caller.
 *
 * <p>Invariant: it ends exactly once, with an answer, a refusal, a typed end of its stream, or
 * because the caller went away. Used from one event loop.
 */
final class CallerRequest {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String id;
  private final String workspaceName;
  private final Workspace workspace;
  private final RoutingContext context;
  private final Instant started;
  private final Instant deadline;
  private final Optional<SessionToken> session;
  private final Meters meters;
  private final Runnable onEnd;
  private Runnable onGone = () -> {};
  private boolean ended;

  CallerRequest(Admission.Ticket ticket, RoutingContext context, Meters meters, Runnable onEnd) {
    this.id = ticket.id();
    this.workspaceName = ticket.workspaceName();
    this.workspace = ticket.workspace();
    this.started = ticket.started();
    this.deadline = ticket.deadline();
    this.session = ticket.session();
    this.context = context;
    this.meters = meters;
    this.onEnd = onEnd;
    context.response().closeHandler(unused -> gone());
  }

  String id() {
    return id;
  }

  String workspaceName() {
    return workspaceName;
  }

  Workspace workspace() {
    return workspace;
  }

  Optional<SessionToken> session() {
    return session;
  }

  Instant started() {
    return started;
  }

  Instant deadline() {
    return deadline;
  }

  RoutingContext context() {
    return context;
  }

  HttpServerResponse response() {
    return context.response();
  }

  Optional<String> header(String name) {
    return Optional.ofNullable(context.request().getHeader(name));
  }

  boolean isEnded() {
    return ended;
  }

  /** Sets what happens when the caller goes away before the end. */
  void onGone(Runnable action) {
    onGone = action;
  }

  /** Ends the request with a refusal: as a problem, or as an event if the stream has begun. */
  void refuse(Refusal refusal) {
    if (ended) {
      return;
    }
    meters.refused(refusal.reason());
    logger
        .atInfo()
        .with(LogKeys.REQUEST_ID, id)
        .log(
            "refused for %s: %s, not run: %s",
            workspaceName, refusal.reason().text(), refusal.notRun().text());
    HttpServerResponse response = response();
    finish();
    if (response.headWritten()) {
      response.end(Problem.event(refusal, id));
    } else {
      Problem.send(response, refusal, id);
    }
  }

  /** Ends the request because a failure has no type; the caller is told no detail. */
  void fail(Throwable failure) {
    logger.atSevere().withCause(failure).with(LogKeys.REQUEST_ID, id).log("the request failed");
    refuse(Refusal.unknown(RefusalReason.UPSTREAM_FAILED, ErrorText.get().mayHaveRun));
  }

  /** Marks that the whole answer was written. */
  void finish() {
    if (!ended) {
      ended = true;
      logger.atInfo().with(LogKeys.REQUEST_ID, id).log("the request of %s ended", workspaceName);
      onEnd.run();
    }
  }

  private void gone() {
    if (!ended) {
      meters.count("caller.gone");
      logger.atInfo().with(LogKeys.REQUEST_ID, id).log("the caller went away");
      finish();
      onGone.run();
    }
  }
}
