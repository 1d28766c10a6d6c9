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
 * Says by its head whether a request may go on, and on which route.
 *
 * <p>Invariant: every refusal says that the request has not run. Used from one event loop.
 */
final class Admission {
  /** When callers shall come back that came before the first configuration or find no room. */
  private static final Duration COME_BACK = Duration.ofMillis(500);

  /** How long a planned stop takes every request: until the balancer has seen two misses. */
  private static final Duration TAKES_ALL_FOR = Duration.ofMillis(2900);

  /** When a caller may come back that is sent to another instance: at once. */
  private static final Duration GO_ELSEWHERE = Duration.ofMillis(20);

  /** The bytes of a header besides its name and value: colon, space and the end of the line. */
  private static final int SEPARATORS_BYTES = 4;

  private final GatewayParts parts;
  private final BooleanSupplier serves;
  private Optional<PlannedStop> stop = Optional.empty();

  private Admission(GatewayParts parts, BooleanSupplier serves) {
    this.parts = parts;
    this.serves = serves;
  }

  /**
   * Returns an admission of an instance that does not stop yet.
   *
   * @param serves whether the instance knows enough to serve
   */
  static Admission create(GatewayParts parts, BooleanSupplier serves) {
    return new Admission(parts, serves);
  }

  /**
   * What an admitted request goes on with.
   *
   * @param route its route
   * @param workspace whose request it is, empty if that is not known and need not be
   */
  record Admitted(Route route, Optional<WorkspaceKeys> workspace) {}

  /**
   * A planned stop.
   *
   * @param takesAllUntil until when every request is taken; the balancer knows by then
   * @param cutAt when what is still open will be cut
   */
  private record PlannedStop(Instant takesAllUntil, Instant cutAt) {
    /** Returns whether a request of the route, taken now, ends or times out before the cut. */
    boolean takes(Route route, Instant now) {
      return now.isBefore(takesAllUntil) || !now.plusMillis(route.timeoutMillis()).isAfter(cutAt);
    }
  }

  /**
   * Begins a planned stop: after a while only requests are admitted that end before the cut.
   *
   * @param cutAt when what is still open will be cut
   */
  void beginStop(Instant cutAt) {
    stop = Optional.of(new PlannedStop(parts.clock().instant().plus(TAKES_ALL_FOR), cutAt));
  }

  /** Returns whether a planned stop has begun. */
  boolean isStopping() {
    return stop.isPresent();
  }

  /** Reads the head of a request; refuses one that is too large or says nothing sound. */
  RequestHead read(HttpServerRequest request) throws RefusedException {
    int limit = parts.tables().limits().headerBytes();
    if (headBytes(request) > limit) {
      String text = ErrorText.format(ErrorText.get().headerTooLarge, limit);
      throw refused(RefusalReason.HEADER_TOO_LARGE, text);
    }
    try {
      return parts.adapter().callers().read(request);
    } catch (RequestInvalidException e) {
      throw refused(RefusalReason.HEADER_INVALID, e.getMessage());
    }
  }

  private static int headBytes(HttpServerRequest request) {
    int bytes = request.uri().length();
    for (Map.Entry<String, String> header : request.headers()) {
      bytes += header.getKey().length() + header.getValue().length() + SEPARATORS_BYTES;
    }
    return bytes;
  }

  /** Admits a request, or refuses it. */
  Admitted admit(HttpServerRequest request, RequestHead head) throws RefusedException {
    if (!serves.getAsBoolean()) {
      throw new RefusedException(
          Refusal.retryAfter(RefusalReason.NOT_READY, ErrorText.get().notReady, COME_BACK));
    }
    Route route = routeOf(head);
    Optional<WorkspaceKeys> workspace = authenticate(head, route);
    if (stop.isPresent() && !stop.get().takes(route, parts.clock().instant())) {
      throw new RefusedException(
          Refusal.retryAfter(RefusalReason.STOPPING, ErrorText.get().stopping, GO_ELSEWHERE));
    }
    checkBodyBytes(declaredLength(request));
    return new Admitted(route, workspace);
  }

  private Route routeOf(RequestHead head) throws RefusedException {
    return parts
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
    KeyIndex keys = parts.tables().keys();
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

  /** Refuses a body of more bytes than the limit in force. */
  void checkBodyBytes(long bytes) throws RefusedException {
    int limit = parts.tables().limits().bodyBytes();
    if (bytes > limit) {
      String text = ErrorText.format(ErrorText.get().bodyTooLarge, limit);
      throw refused(RefusalReason.BODY_TOO_LARGE, text);
    }
  }

  /** Takes room for a part of a body, or refuses it; what is taken is to be given back. */
  void hold(long bytes) throws RefusedException {
    if (!parts.held().take(bytes)) {
      throw new RefusedException(
          Refusal.retryAfter(RefusalReason.OVERLOADED, ErrorText.get().overloaded, COME_BACK));
    }
  }

  private static RefusedException refused(RefusalReason reason, String text) {
    return new RefusedException(Refusal.notRun(reason, text));
  }
}
