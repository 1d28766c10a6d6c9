// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Optional;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.ErrorText;
import org.oatlug.errors.RefusedException;
import org.oatlug.errors.RequestInvalidException;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.WorkspaceKeys;
import org.oatlug.internal.forward.ForwardedRequest;
import org.oatlug.internal.forward.ForwardingProtocol;

/**
 * Admits requests that other instances have admitted and forward to this one.
 *
 * <p>Invariants: only requests with a proof of the shared key are admitted, and the key and the
 * limits of the caller are not checked again; every refusal states that the request has not run, so
 * that the sender may try another instance. Used from one event loop.
 */
final class ForwardedAdmission implements RequestAdmission {
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);

  private final GatewayComponents components;
  private final Admission callers;

  private ForwardedAdmission(GatewayComponents components, Admission callers) {
    this.components = components;
    this.callers = callers;
  }

  /** Returns an admission that accepts requests while the one for callers does. */
  static ForwardedAdmission create(GatewayComponents components, Admission callers) {
    return new ForwardedAdmission(components, callers);
  }

  @Override
  public RequestHead read(HttpServerRequest request) throws RefusedException {
    return callers.readHead(request);
  }

  @Override
  public Admitted admit(HttpServerRequest request, RequestHead head) throws RefusedException {
    final ForwardedRequest forwarded = verify(request, head);
    if (!callers.isReady()) {
      throw retryElsewhere(RefusalReason.NOT_READY, ErrorText.get().notReady);
    }
    if (callers.isStopping()) {
      throw retryElsewhere(RefusalReason.STOPPING, ErrorText.get().stopping);
    }
    // The callers of this instance come first.
    if (components.dispatchQueue().isOverloaded()) {
      throw retryElsewhere(RefusalReason.OVERLOADED, ErrorText.get().overloaded);
    }
    Route route = routeOf(forwarded, head);
    Optional<WorkspaceKeys> workspace = workspaceOf(forwarded);
    components.meters().count("forward.received");
    return new Admitted(route, workspace, Optional.of(forwarded));
  }

  private ForwardedRequest verify(HttpServerRequest request, RequestHead head)
      throws RefusedException {
    ForwardingProtocol.Target target =
        new ForwardingProtocol.Target(
            components.settings().name(), request.method(), request.uri(), head.host());
    try {
      return components.forwarding().protocol().verify(request.headers(), target);
    } catch (RequestInvalidException e) {
      components.meters().count("forward.not-proved");
      throw new RefusedException(Refusal.notRun(RefusalReason.NOT_ALLOWED, e.getMessage()));
    }
  }

  private Route routeOf(ForwardedRequest forwarded, RequestHead head) throws RefusedException {
    return components
        .tables()
        .routes()
        .find(head.host(), head.path())
        .filter(route -> route.name().equals(forwarded.route()))
        .filter(route -> hasTarget(route, forwarded.service()))
        .orElseThrow(
            () ->
                retryElsewhere(
                    RefusalReason.ROUTE_UNKNOWN,
                    ErrorText.format(ErrorText.get().routeUnknown, head.path())));
  }

  private static boolean hasTarget(Route route, String service) {
    return route.targets().stream().anyMatch(target -> target.service().equals(service));
  }

  private Optional<WorkspaceKeys> workspaceOf(ForwardedRequest forwarded) throws RefusedException {
    if (forwarded.workspace().isEmpty()) {
      return Optional.empty();
    }
    Optional<WorkspaceKeys> workspace =
        components.tables().keys().workspace(forwarded.workspace().get());
    if (workspace.isEmpty()) {
      throw retryElsewhere(RefusalReason.KEY_UNKNOWN, ErrorText.get().keyUnknown);
    }
    return workspace;
  }

  private static RefusedException retryElsewhere(RefusalReason reason, String text) {
    return new RefusedException(Refusal.retryAfter(reason, text, RETRY_DELAY));
  }
}
