// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.UUID;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.config.Workspace;
import org.oatlug.errors.ErrorText;
import org.oatlug.errors.RefusedException;
import org.oatlug.errors.SessionTokenInvalidException;
import org.oatlug.internal.limit.OpenRequests;
import org.oatlug.internal.session.SessionToken;
import org.oatlug.internal.util.Hashes;

/**
 * Admits or refuses requests before anything is executed.
 *
 * <p>Invariant: a request that is refused here did not run. Used from one event loop.
 */
final class Admission {
  private static final String BEARER = "Bearer ";
  private static final Duration DEFAULT_DEADLINE = Duration.ofMinutes(10);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
  private static final int MAXIMUM_HEADER_CHARACTERS = 4096;

  private final Services services;

  Admission(Services services) {
    this.services = services;
  }

  /** Properties of an admitted request. Immutable. */
  record AdmittedRequest(
      String id,
      String workspaceName,
      Workspace workspace,
      Instant started,
      Instant deadline,
      Optional<SessionToken> session) {}

  /** Admits the request, which the caller of this method must then end, or sends a refusal. */
  Optional<CallerRequest> admit(RoutingContext context) {
    String id = UUID.randomUUID().toString();
    try {
      AdmittedRequest admitted = validate(id, context.request());
      admitToOpenRequests(admitted.workspace());
      return Optional.of(
          new CallerRequest(admitted, context, services.meters(), services.open()::close));
    } catch (RefusedException e) {
      services.meters().refused(e.refusal().reason());
      Problem.send(context.response(), e.refusal(), id);
      return Optional.empty();
    }
  }

  /** Returns the name of the workspace that owns the API key of the request. */
  String authenticate(HttpServerRequest request) throws RefusedException {
    String header = request.getHeader(Headers.AUTHORIZATION);
    if (header == null || !header.startsWith(BEARER)) {
      throw refused(RefusalReason.KEY_MISSING, ErrorText.get().keyMissing);
    }
    String hash = Hashes.sha256(header.substring(BEARER.length()).trim());
    return services
        .tables()
        .catalogue()
        .workspaceByKeyHash(hash)
        .orElseThrow(() -> refused(RefusalReason.KEY_UNKNOWN, ErrorText.get().keyUnknown));
  }

  private AdmittedRequest validate(String id, HttpServerRequest request) throws RefusedException {
    Instant now = services.clock().instant();
    if (services.tables().catalogue().isEmpty()) {
      throw retryLater(RefusalReason.NOT_READY, ErrorText.get().notReady);
    }
    String name = authenticate(request);
    Workspace workspace = services.tables().catalogue().workspace(name).orElseThrow();
    final Instant deadline = now.plus(deadlineOf(request));
    final Optional<SessionToken> session = sessionOf(request, name);
    checkLength(request, Headers.IDEMPOTENCY_KEY);
    checkLength(request, Headers.TASK);
    Optional<Duration> wait = services.limits().take(name, workspace, now);
    if (wait.isPresent()) {
      String text = ErrorText.get().rateLimited;
      throw new RefusedException(Refusal.retryAfter(RefusalReason.RATE_LIMITED, text, wait.get()));
    }
    return new AdmittedRequest(id, name, workspace, now, deadline, session);
  }

  private void admitToOpenRequests(Workspace workspace) throws RefusedException {
    OpenRequests.Result result = services.open().admit(workspace.priority());
    if (result == OpenRequests.Result.STOPPING) {
      throw retryLater(RefusalReason.STOPPING, ErrorText.get().stopping);
    }
    if (result == OpenRequests.Result.OVERLOADED) {
      throw retryLater(RefusalReason.OVERLOADED, ErrorText.get().overloaded);
    }
  }

  private static Duration deadlineOf(HttpServerRequest request) throws RefusedException {
    String header = request.getHeader(Headers.DEADLINE);
    if (header == null) {
      return DEFAULT_DEADLINE;
    }
    try {
      long millis = Long.parseLong(header.trim());
      if (millis > 0 && millis <= DEFAULT_DEADLINE.toMillis()) {
        return Duration.ofMillis(millis);
      }
    } catch (NumberFormatException e) {
      throw invalid(Headers.DEADLINE);
    }
    throw invalid(Headers.DEADLINE);
  }

  private Optional<SessionToken> sessionOf(HttpServerRequest request, String workspace)
      throws RefusedException {
    String header = request.getHeader(Headers.SESSION);
    if (header == null || !header.contains(".")) {
      return Optional.empty();
    }
    try {
      SessionToken token = SessionToken.verify(header, services.sessionKeys());
      if (!token.workspace().equals(workspace)) {
        throw refused(RefusalReason.SESSION_INVALID, "the session is of another workspace");
      }
      return Optional.of(token);
    } catch (SessionTokenInvalidException e) {
      throw refused(RefusalReason.SESSION_INVALID, e.getMessage());
    }
  }

  private static void checkLength(HttpServerRequest request, String name) throws RefusedException {
    String value = request.getHeader(name);
    if (value != null && (value.isBlank() || value.length() > MAXIMUM_HEADER_CHARACTERS)) {
      throw invalid(name);
    }
  }

  private static RefusedException invalid(String header) {
    String text = ErrorText.format(ErrorText.get().headerInvalid, header);
    return refused(RefusalReason.HEADER_INVALID, text);
  }

  private static RefusedException refused(RefusalReason reason, String text) {
    return new RefusedException(Refusal.notRun(reason, text));
  }

  private static RefusedException retryLater(RefusalReason reason, String text) {
    return new RefusedException(Refusal.retryAfter(reason, text, RETRY_AFTER));
  }
}
