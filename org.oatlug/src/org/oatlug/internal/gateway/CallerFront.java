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
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.RefusedException;
import org.oatlug.gateway.GatewaySettings.Endpoint;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;

/**
 * Where callers connect: reads requests, refuses those that may not go on, and starts the others.
 *
 * <p>Which ones may go on is the matter of {@link Admission}. Invariant: what is refused here was
 * handed to no upstream. Used from one event loop.
 */
public final class CallerFront {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The decoder's bound of a head; the smaller bound in force is checked on the whole head. */
  private static final int DECODER_HEADER_BYTES = 262_144;

  /**
   * How long a request waits for a start to end: less than the second after which callers give up
   * an instance that does not read.
   */
  private static final Duration START_PATIENCE = Duration.ofMillis(800);

  /** How many requests wait for a start to end; their bodies are not read meanwhile. */
  private static final int MAXIMUM_WAITING = 500;

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
  private final BooleanSupplier serves;
  private final Admission admission;
  private int open;

  private CallerFront(GatewayParts parts, RandomGenerator random, BooleanSupplier serves) {
    this.parts = parts;
    this.random = random;
    this.serves = serves;
    this.admission = Admission.create(parts, serves);
  }

  /**
   * Returns a front that does not listen yet.
   *
   * @param serves whether the instance knows enough to serve
   */
  public static CallerFront create(
      GatewayParts parts, RandomGenerator random, BooleanSupplier serves) {
    return new CallerFront(parts, random, serves);
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
    admission.beginStop(cutAt);
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
    if (serves.getAsBoolean() || waiting.size() >= MAXIMUM_WAITING) {
      opened.proceed();
    } else {
      opened.awaitStart();
    }
  }

  /** Lets the requests go on that came before the instance knew enough. */
  public void started() {
    List<OpenRequest> ready = List.copyOf(waiting);
    waiting.clear();
    ready.forEach(OpenRequest::proceed);
  }

  private Incoming incoming(
      HttpServerRequest request,
      RequestHead head,
      Admission.Admitted admitted,
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
      if (admission.isStopping()) {
        answer.closeAfterwards();
      }
    }

    private void ended() {
      open--;
      parts.held().give(heldBytes);
      connection.ifPresent(CallerConnection::requestEnded);
    }

    /** Waits a moment for what a starting instance is reading. */
    void awaitStart() {
      request.pause();
      waiting.add(this);
      parts
          .vertx()
          .setTimer(
              START_PATIENCE.toMillis(),
              unused -> {
                if (waiting.remove(this)) {
                  proceed();
                }
              });
    }

    void proceed() {
      String id = "";
      try {
        RequestHead head = admission.read(request);
        id = head.id();
        readBody(head, admission.admit(request, head));
      } catch (RefusedException e) {
        refuse(e.refusal(), id);
      }
      request.resume();
    }

    private void readBody(RequestHead head, Admission.Admitted admitted) {
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
      try {
        admission.checkBodyBytes(body.length() + data.length());
        admission.hold(data.length());
        heldBytes += data.length();
        body.appendBuffer(data);
      } catch (RefusedException e) {
        refuse(e.refusal(), head.id());
      }
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
