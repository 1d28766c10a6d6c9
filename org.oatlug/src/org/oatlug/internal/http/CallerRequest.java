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
 * Admitted request of a caller.
 *
 * <p>Invariant: it ends exactly once: with a response, a refusal, an error event in its stream, or
 * because the caller disconnected. Used from one event loop.
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
  private Runnable onDisconnect = () -> {};
  private boolean ended;

  CallerRequest(
      Admission.AdmittedRequest admitted, RoutingContext context, Meters meters, Runnable onEnd) {
    this.id = admitted.id();
    this.workspaceName = admitted.workspaceName();
    this.workspace = admitted.workspace();
    this.started = admitted.started();
    this.deadline = admitted.deadline();
    this.session = admitted.session();
    this.context = context;
    this.meters = meters;
    this.onEnd = onEnd;
    context.response().closeHandler(unused -> disconnected());
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

  /** Sets the action to run when the caller disconnects before the request ends. */
  void onDisconnect(Runnable action) {
    onDisconnect = action;
  }

  /**
   * Ends the request with a refusal, sent as problem details or, if the stream has begun, as an
   * event.
   */
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

  /** Ends the request after an unexpected failure; the caller receives no details. */
  void fail(Throwable failure) {
    logger.atSevere().withCause(failure).with(LogKeys.REQUEST_ID, id).log("the request failed");
    refuse(Refusal.unknown(RefusalReason.UPSTREAM_FAILED, ErrorText.get().mayHaveRun));
  }

  /**
   * Marks the request as ended, immediately before the end of the response is written or after the
   * caller disconnected. Further calls have no effect.
   */
  void finish() {
    if (!ended) {
      ended = true;
      logger.atInfo().with(LogKeys.REQUEST_ID, id).log("the request of %s ended", workspaceName);
      onEnd.run();
    }
  }

  private void disconnected() {
    if (!ended) {
      meters.count("caller.gone");
      logger.atInfo().with(LogKeys.REQUEST_ID, id).log("the caller disconnected");
      finish();
      onDisconnect.run();
    }
  }
}
