// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.ErrorText;
import org.oatlug.errors.RefusedException;
import org.oatlug.errors.RequestInvalidException;
import org.oatlug.gateway.GatewaySettings.Endpoint;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.WorkspaceKeys;

/**
 * Where callers connect: reads requests, refuses those that may not go on, and starts the others.
 *
 * <p>Invariant: what is refused here was handed to no upstream. Used from one event loop.
 */
public final class CallerFront {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The decoder's bound of a head; the smaller bound in force is checked on the whole head. */
  private static final int DECODER_HEADER_BYTES = 262_144;

  /**
   * How long a request waits for the first configuration: less than the second after which callers
   * give up an instance that does not read.
   */
  private static final Duration CONFIGURATION_PATIENCE = Duration.ofMillis(800);

  /** How many requests wait for the first configuration; their bodies are not read meanwhile. */
  private static final int MAXIMUM_WAITING = 500;

  /** When callers shall come back that came before the first configuration. */
  private static final Duration COME_BACK = Duration.ofMillis(500);

  /** How long a planned stop takes every request: until the balancer has seen two misses. */
  private static final Duration TAKES_ALL_FOR = Duration.ofMillis(2900);

  /** When a caller may come back that is sent to another instance: at once. */
  private static final Duration GO_ELSEWHERE = Duration.ofMillis(20);

  /** The bytes of a header besides its name and value: colon, space and the end of the line. */
  private static final int SEPARATORS_BYTES = 4;

  private final HttpServerOptions options =
      new HttpServerOptions()
          .setHttp2ClearTextEnabled(false)
          .setMaxHeaderSize(DECODER_HEADER_BYTES)
          .setMaxInitialLineLength(DECODER_HEADER_BYTES)
          .setHandle100ContinueAutomatically(true)
          .setTcpNoDelay(true);
  private final GatewayParts parts;
  private final RandomGenerator random;
  private final Map<HttpConnection, CallerConnection> connections = new HashMap<>();
  private final Set<OpenRequest> waiting = new LinkedHashSet<>();
  private int open;
  private Optional<PlannedStop> stop = Optional.empty();

  private CallerFront(GatewayParts parts, RandomGenerator random) {
    this.parts = parts;
    this.random = random;
  }

  /** Returns a front that does not listen yet. */
  public static CallerFront create(GatewayParts parts, RandomGenerator random) {
    return new CallerFront(parts, random);
  }

  /** Starts to accept callers. */
  public Future<HttpServer> listen() {
    Endpoint endpoint = parts.settings().callers();
    return parts
        .vertx()
        .createHttpServer(options)
        .connectionHandler(this::connected)
        .requestHandler(this::received)
        .listen(endpoint.port(), endpoint.host());
  }

  /** Returns the number of open requests. */
  public int open() {
    return open;
  }

  /**
   * Begins a planned stop: requests go on being taken, each answer ends its connection.
   *
   * @param cutAt when what is still open will be cut
   */
  public void beginStop(Instant cutAt) {
    stop = Optional.of(new PlannedStop(parts.clock().instant().plus(TAKES_ALL_FOR), cutAt));
  }

  /** Closes the connections that rest, so that their callers go elsewhere. */
  public void closeResting() {
    for (CallerConnection connection : List.copyOf(connections.values())) {
      if (connection.isResting()) {
        connection.close();
      }
    }
  }

  /** Cuts what is still open. */
  public void cutAll() {
    List.copyOf(connections.values()).forEach(CallerConnection::close);
  }

  private void connected(HttpConnection connection) {
    CallerConnection watched =
        CallerConnection.watch(parts.vertx(), connection, () -> parts.tables().limits());
    connections.put(connection, watched);
    StrictRequestDecoder.install(connection, options, watched::bytesArrived);
    connection.closeHandler(
        unused -> {
          connections.remove(connection);
          watched.closed();
        });
  }

  private void received(HttpServerRequest request) {
    CallerConnection from = connections.get(request.connection());
    if (from != null && from.isCondemned()) {
      from.close();
      return;
    }
    OpenRequest opened = new OpenRequest(request, parts.clock().instant());
    opened.begin();
    if (parts.tables().configuration().isPresent() || waiting.size() >= MAXIMUM_WAITING) {
      opened.proceed();
    } else {
      opened.awaitConfiguration();
    }
  }

  /** Lets the requests go on that came before there was a configuration. */
  public void configured() {
    List<OpenRequest> ready = List.copyOf(waiting);
    waiting.clear();
    ready.forEach(OpenRequest::proceed);
  }

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

  private record Admitted(Route route, Optional<WorkspaceKeys> workspace) {}

  private RequestHead readHead(HttpServerRequest request) throws RefusedException {
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

  private Admitted admit(HttpServerRequest request, RequestHead head) throws RefusedException {
    if (parts.tables().configuration().isEmpty()) {
      throw new RefusedException(
          Refusal.retryAfter(RefusalReason.NOT_READY, ErrorText.get().notReady, COME_BACK));
    }
    Route route =
        parts
            .tables()
            .routes()
            .find(head.host(), head.path())
            .orElseThrow(
                () ->
                    refused(
                        RefusalReason.ROUTE_UNKNOWN,
                        ErrorText.format(ErrorText.get().routeUnknown, head.path())));
    Optional<WorkspaceKeys> workspace = authenticate(head, route);
    Instant now = parts.clock().instant();
    if (stop.isPresent() && !stop.get().takes(route, now)) {
      throw new RefusedException(
          Refusal.retryAfter(RefusalReason.STOPPING, ErrorText.get().stopping, GO_ELSEWHERE));
    }
    long length = declaredLength(request);
    if (length > parts.tables().limits().bodyBytes()) {
      throw bodyTooLarge();
    }
    return new Admitted(route, workspace);
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

  private Incoming incoming(
      HttpServerRequest request,
      RequestHead head,
      Admitted admitted,
      Buffer body,
      Instant arrived) {
    Route route = admitted.route();
    Duration timeout = Duration.ofMillis(route.timeoutMillis());
    Duration patience = head.patience().orElse(timeout);
    Duration held = patience.compareTo(timeout) < 0 ? patience : timeout;
    boolean hasBody =
        request.getHeader("Content-Length") != null
            || request.getHeader("Transfer-Encoding") != null;
    return new Incoming(
        head,
        route,
        target(route),
        admitted.workspace(),
        request.method(),
        request.uri(),
        parts.adapter().callers().passedOn(request),
        body,
        hasBody,
        arrived,
        arrived.plus(held));
  }

  private String target(Route route) {
    int total = route.targets().stream().mapToInt(Route.WeightedTarget::weight).sum();
    int drawn = total > 0 ? random.nextInt(total) : 0;
    for (Route.WeightedTarget target : route.targets()) {
      drawn -= target.weight();
      if (drawn < 0) {
        return target.service();
      }
    }
    return route.targets().get(0).service();
  }

  private RefusedException bodyTooLarge() {
    int limit = parts.tables().limits().bodyBytes();
    return refused(
        RefusalReason.BODY_TOO_LARGE, ErrorText.format(ErrorText.get().bodyTooLarge, limit));
  }

  private static RefusedException refused(RefusalReason reason, String text) {
    return new RefusedException(Refusal.notRun(reason, text));
  }

  /** A request from its head to the end of its answer. */
  private final class OpenRequest {
    private final HttpServerRequest request;
    private final Instant arrived;
    private final CallerAnswer answer;
    private final Optional<CallerConnection> connection;
    private final Buffer body = Buffer.buffer();
    private long heldBytes;

    OpenRequest(HttpServerRequest request, Instant arrived) {
      this.request = request;
      this.arrived = arrived;
      this.answer = new CallerAnswer(request);
      this.connection = Optional.ofNullable(connections.get(request.connection()));
    }

    void begin() {
      open++;
      connection.ifPresent(CallerConnection::requestBegan);
      request.response().endHandler(unused -> ended());
      if (stop.isPresent()) {
        answer.closeAfterwards();
      }
    }

    private void ended() {
      open--;
      parts.held().give(heldBytes);
      connection.ifPresent(CallerConnection::requestEnded);
    }

    /** Waits a moment for the configuration that a starting instance is reading. */
    void awaitConfiguration() {
      request.pause();
      waiting.add(this);
      parts
          .vertx()
          .setTimer(
              CONFIGURATION_PATIENCE.toMillis(),
              unused -> {
                if (waiting.remove(this)) {
                  proceed();
                }
              });
    }

    void proceed() {
      String id = "";
      try {
        RequestHead head = readHead(request);
        id = head.id();
        readBody(head, admit(request, head));
      } catch (RefusedException e) {
        refuse(e.refusal(), id);
      }
      request.resume();
    }

    private void readBody(RequestHead head, Admitted admitted) {
      request.handler(data -> addToBody(head, data));
      request.endHandler(
          unused -> {
            if (!answer.isEnded()) {
              Exchange.start(parts, answer, incoming(request, head, admitted, body, arrived));
            }
          });
    }

    private void addToBody(RequestHead head, Buffer data) {
      if (answer.isEnded()) {
        return;
      }
      if (body.length() + data.length() > parts.tables().limits().bodyBytes()) {
        refuse(bodyTooLarge().refusal(), head.id());
        return;
      }
      if (!parts.held().take(data.length())) {
        String text = ErrorText.get().overloaded;
        refuse(Refusal.retryAfter(RefusalReason.OVERLOADED, text, COME_BACK), head.id());
        return;
      }
      heldBytes += data.length();
      body.appendBuffer(data);
    }

    void refuse(Refusal refusal, String requestId) {
      parts.meters().refused(refusal.reason());
      parts
          .logLimit()
          .line(logger, requestId)
          .log(
              "refused %s before any attempt: %s path=%s host=%s",
              refusal.reason().text(), refusal.detail(), request.path(), request.getHeader("Host"));
      if (refusal.reason() == RefusalReason.HEADER_INVALID) {
        connection.ifPresent(CallerConnection::condemn);
      }
      if (!request.isEnded()) {
        answer.closeAfterwards();
      }
      answer.refuse(refusal, requestId);
    }
  }
}
