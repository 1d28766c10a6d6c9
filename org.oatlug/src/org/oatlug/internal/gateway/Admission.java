// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.ErrorText;
import org.oatlug.errors.RefusedException;
import org.oatlug.errors.RequestInvalidException;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.WorkspaceKeys;

/**
 * Admits or refuses requests by their head, and determines their route.
 *
 * <p>Invariant: every refusal states that the request has not run. Used from one event loop.
 */
final class Admission implements RequestAdmission {
  /** Retry delay for requests that arrive before the first configuration. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);

  /** Time for which a planned stop admits all requests: two failed checks of the balancer. */
  private static final Duration STOP_GRACE_PERIOD = Duration.ofMillis(2900);

  /** Retry delay for callers that are to use another instance: practically none. */
  private static final Duration OTHER_INSTANCE_RETRY_DELAY = Duration.ofMillis(20);

  /** Bytes of a header besides its name and value: colon, space and line break. */
  private static final int SEPARATOR_BYTES = 4;

  private final GatewayComponents components;
  private final BooleanSupplier ready;
  private Optional<PlannedStop> stop = Optional.empty();

  private Admission(GatewayComponents components, BooleanSupplier ready) {
    this.components = components;
    this.ready = ready;
  }

  /**
   * Returns the admission of an instance that is not stopping.
   *
   * @param ready whether the instance is ready to serve
   */
  static Admission create(GatewayComponents components, BooleanSupplier ready) {
    return new Admission(components, ready);
  }

  /**
   * A planned stop.
   *
   * @param admitsAllUntil the time until which all requests are admitted; by then the balancer has
   *     noticed the stop
   * @param abortAt the time at which open requests are aborted
   */
  private record PlannedStop(Instant admitsAllUntil, Instant abortAt) {
    /** Returns whether the stop admits a request of the route: it has to end before the abort. */
    boolean admits(Route route, Instant now) {
      return now.isBefore(admitsAllUntil)
          || !now.plusMillis(route.timeoutMillis()).isAfter(abortAt);
    }
  }

  /**
   * Begins a planned stop. After a grace period only requests that time out before the abort are
   * admitted.
   *
   * @param abortAt the time at which open requests are aborted
   */
  void beginShutdown(Instant abortAt) {
    stop =
        Optional.of(new PlannedStop(components.clock().instant().plus(STOP_GRACE_PERIOD), abortAt));
  }

  /** Returns whether a planned stop has begun. */
  boolean isStopping() {
    return stop.isPresent();
  }

  /** Returns whether the instance is ready to serve. */
  boolean isReady() {
    return ready.getAsBoolean();
  }

  @Override
  public RequestHead read(HttpServerRequest request) throws RefusedException {
    int limit = components.tables().limits().headerBytes();
    if (headBytes(request) > limit) {
      String text = ErrorText.format(ErrorText.get().headerTooLarge, limit);
      throw refused(RefusalReason.HEADER_TOO_LARGE, text);
    }
    return readHead(request);
  }

  /** Reads the head of a request of any size, and refuses one that is invalid. */
  RequestHead readHead(HttpServerRequest request) throws RefusedException {
    try {
      return components.adapter().callers().read(request);
    } catch (RequestInvalidException e) {
      throw refused(RefusalReason.HEADER_INVALID, e.getMessage());
    }
  }

  private static int headBytes(HttpServerRequest request) {
    int bytes = request.uri().length();
    for (Map.Entry<String, String> header : request.headers()) {
      bytes += header.getKey().length() + header.getValue().length() + SEPARATOR_BYTES;
    }
    return bytes;
  }

  @Override
  public Admitted admit(HttpServerRequest request, RequestHead head) throws RefusedException {
    if (!ready.getAsBoolean()) {
      throw new RefusedException(
          Refusal.retryAfter(RefusalReason.NOT_READY, ErrorText.get().notReady, RETRY_DELAY));
    }
    Route route = routeOf(head);
    Optional<WorkspaceKeys> workspace = authenticate(head, route);
    if (stop.isPresent() && !stop.get().admits(route, components.clock().instant())) {
      throw new RefusedException(
          Refusal.retryAfter(
              RefusalReason.STOPPING, ErrorText.get().stopping, OTHER_INSTANCE_RETRY_DELAY));
    }
    BodyReader.checkLength(declaredLength(request), components.tables().limits().bodyBytes());
    return new Admitted(route, workspace, Optional.empty());
  }

  private Route routeOf(RequestHead head) throws RefusedException {
    return components
        .tables()
        .routes()
        .find(head.host(), head.path())
        .orElseThrow(
            () ->
                refused(
                    RefusalReason.ROUTE_UNKNOWN,
                    ErrorText.format(ErrorText.get().routeUnknown, head.path())));
  }

  private Optional<WorkspaceKeys> authenticate(RequestHead head, Route route)
      throws RefusedException {
    KeyIndex keys = components.tables().keys();
    Optional<WorkspaceKeys> workspace = head.key().flatMap(keys::find);
    if (!keys.isRequired() || route.openToAll()) {
      return workspace;
    }
    if (head.key().isEmpty()) {
      throw refused(RefusalReason.KEY_MISSING, ErrorText.get().keyMissing);
    }
    if (workspace.isEmpty()) {
      throw refused(RefusalReason.KEY_UNKNOWN, ErrorText.get().keyUnknown);
    }
    return workspace;
  }

  private static long declaredLength(HttpServerRequest request) {
    String text = request.getHeader("Content-Length");
    return text == null ? 0 : Long.parseLong(text.trim());
  }

  private static RefusedException refused(RefusalReason reason, String text) {
    return new RefusedException(Refusal.notRun(reason, text));
  }
}
