// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.util.AttributeKey;
import io.vertx.core.Future;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.impl.ConnectionBase;
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
import org.oatlug.errors.ErrorText;
import org.oatlug.errors.RefusedException;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.gateway.GatewaySettings.Endpoint;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;
import org.oatlug.internal.forward.ForwardedRequest;
import org.oatlug.internal.forward.ForwardingProtocol;
import org.oatlug.internal.limit.AcceptGate;
import org.oatlug.internal.limit.AcceptWindow;

/**
 * The HTTP server for callers: reads requests, refuses those that are not admitted, and starts an
 * exchange for each of the others.
 *
 * <p>{@link Admission} decides which requests are admitted. Invariant: a request that is refused
 * here was sent to no upstream. Used from one event loop.
 */
public final class GatewayServer {
  /** The place that an accepted connection occupies, set by the transport. */
  public static final AttributeKey<AcceptWindow.Permit> PERMIT =
      AttributeKey.valueOf("acceptPermit");

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * The decoder's limit of a head, in bytes; the smaller configured limit is checked afterwards.
   */
  private static final int MAXIMUM_DECODER_HEADER_BYTES = 262_144;

  /**
   * The maximum time that a request waits for the instance to become ready: less than the second
   * after which callers give up on an instance that does not read their request.
   */
  private static final Duration READINESS_TIMEOUT = Duration.ofMillis(800);

  /**
   * The maximum number of requests that wait for readiness; their bodies are not read meanwhile.
   */
  private static final int MAXIMUM_WAITING_REQUESTS = 500;

  /** Retry delay for callers that are to use another instance: practically none. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(20);

  private final HttpServerOptions options =
      new HttpServerOptions()
          .setHttp2ClearTextEnabled(false)
          .setMaxHeaderSize(MAXIMUM_DECODER_HEADER_BYTES)
          .setMaxInitialLineLength(MAXIMUM_DECODER_HEADER_BYTES)
          .setHandle100ContinueAutomatically(true)
          .setTcpNoDelay(true);
  private final GatewayComponents components;
  private final RandomGenerator random;
  private final Map<HttpConnection, CallerConnection> connections = new HashMap<>();
  private final Set<OpenRequest> waitingRequests = new LinkedHashSet<>();
  private final BooleanSupplier ready;
  private final Admission admission;
  private final ForwardedAdmission forwardedAdmission;
  private final AcceptWindow acceptWindow;
  private final AcceptControl acceptControl;
  private final InstanceLoadLog loadLog;
  private final Set<OpenRequest> openRequests = new LinkedHashSet<>();

  private GatewayServer(
      GatewayComponents components,
      RandomGenerator random,
      BooleanSupplier ready,
      AcceptGate acceptGate,
      AcceptWindow acceptWindow) {
    this.components = components;
    this.random = random;
    this.ready = ready;
    this.acceptWindow = acceptWindow;
    this.acceptControl =
        AcceptControl.create(components, acceptGate, acceptWindow, this::openRequests);
    this.admission = Admission.create(components, ready);
    this.forwardedAdmission = ForwardedAdmission.create(components, admission);
    this.loadLog = InstanceLoadLog.create(components, this::openRequests, this::unwrittenBytes);
  }

  /**
   * Returns a server that does not listen yet.
   *
   * @param ready returns whether the instance is ready to serve
   * @param acceptGate closed while the instance is overloaded; the transport may ask it before it
   *     sets up a connection
   * @param acceptWindow limits the connections that the transport accepts
   */
  public static GatewayServer create(
      GatewayComponents components,
      RandomGenerator random,
      BooleanSupplier ready,
      AcceptGate acceptGate,
      AcceptWindow acceptWindow) {
    return new GatewayServer(components, random, ready, acceptGate, acceptWindow);
  }

  /** Starts to accept connections. */
  public Future<HttpServer> listen() {
    Endpoint endpoint = components.settings().callers();
    return components
        .vertx()
        .createHttpServer(options)
        .connectionHandler(this::callerConnected)
        .requestHandler(this::received)
        .listen(endpoint.port(), endpoint.host());
  }

  /** Starts to accept connections of other instances, which forward requests. */
  public Future<HttpServer> listenForInstances() {
    GatewaySettings settings = components.settings();
    return components
        .vertx()
        .createHttpServer(options)
        .connectionHandler(this::connected)
        .requestHandler(this::receivedForwarded)
        .listen(settings.peers().forwarding(), settings.peers().listen().host());
  }

  /** Returns the number of open requests. */
  public int openRequests() {
    return openRequests.size();
  }

  private long unwrittenBytes() {
    return connections.keySet().stream().mapToLong(CallerSocket::unwrittenBytes).sum();
  }

  /**
   * Begins a planned shutdown: requests are still accepted, and each answer closes its connection.
   *
   * @param closeAt when the connections still open will be closed
   */
  public void beginShutdown(Instant closeAt) {
    admission.beginShutdown(closeAt);
    components.requestQueue().stop();
  }

  /** Closes idle connections, so that their callers connect to other instances. */
  public void closeIdleConnections() {
    for (CallerConnection connection : List.copyOf(connections.values())) {
      if (connection.isIdle()) {
        connection.close();
      }
    }
  }

  /**
   * Ends the requests that are still open when a planned stop has to end: those that no upstream
   * may have run state so, and of the others only begun responses are cut off.
   */
  public void endOpenRequests() {
    List.copyOf(openRequests).forEach(OpenRequest::endForShutdown);
  }

  /** Closes all connections. */
  public void closeAllConnections() {
    List.copyOf(connections.values()).forEach(CallerConnection::close);
  }

  /** Serves a new connection of a caller, or closes it before anything is read from it. */
  private void callerConnected(HttpConnection connection) {
    if (!acceptControl.admits()) {
      // Closes the channel itself, because the library would first complete its HTTP connection.
      ((ConnectionBase) connection).channel().close();
      return;
    }
    connected(connection);
    Optional.ofNullable(CallerSocket.permitOf(connection))
        .ifPresent(connections.get(connection)::occupy);
  }

  /** Adjusts what is accepted, refuses bodies that are overdue, and logs the load. */
  public void tick() {
    Instant now = components.clock().instant();
    acceptControl.tick(now);
    List.copyOf(openRequests).forEach(request -> request.checkBodyDeadline(now));
    loadLog.tick();
  }

  private void connected(HttpConnection connection) {
    CallerConnection callerConnection =
        CallerConnection.watch(components.vertx(), connection, () -> components.tables().limits());
    connections.put(connection, callerConnection);
    StrictRequestDecoder.install(connection, options, callerConnection::bytesArrived);
    connection.closeHandler(
        unused -> {
          connections.remove(connection);
          callerConnection.closed();
        });
  }

  private void received(HttpServerRequest request) {
    components.eventLoopDelay().probe();
    CallerConnection callerConnection = connections.get(request.connection());
    if (callerConnection != null && callerConnection.isFramingInvalid()) {
      callerConnection.close();
      return;
    }
    OpenRequest openRequest =
        new OpenRequest(
            request, components.clock().instant(), CallerResponse.toCaller(request), admission);
    openRequest.begin();
    if (ready.getAsBoolean() || waitingRequests.size() >= MAXIMUM_WAITING_REQUESTS) {
      openRequest.proceed();
    } else {
      openRequest.awaitReadiness();
    }
  }

  private void receivedForwarded(HttpServerRequest request) {
    components.eventLoopDelay().probe();
    OpenRequest openRequest =
        new OpenRequest(
            request,
            components.clock().instant(),
            CallerResponse.toInstance(request),
            forwardedAdmission);
    openRequest.begin();
    openRequest.proceed();
  }

  /** Proceeds with the requests that arrived before the instance was ready. */
  public void startWaitingRequests() {
    List<OpenRequest> released = List.copyOf(waitingRequests);
    waitingRequests.clear();
    released.forEach(OpenRequest::proceed);
  }

  private AdmittedRequest admittedRequest(
      HttpServerRequest request,
      RequestHead head,
      RequestAdmission.Admitted admitted,
      Body body,
      Instant arrived) {
    Route route = admitted.route();
    boolean hasBody =
        request.getHeader("Content-Length") != null
            || request.getHeader("Transfer-Encoding") != null;
    return new AdmittedRequest(
        head,
        route,
        admitted.forwarded().map(ForwardedRequest::service).orElseGet(() -> drawService(route)),
        admitted.workspace(),
        request.method(),
        request.uri(),
        ForwardingProtocol.without(components.adapter().callers().forwardedHeaders(request)),
        body,
        hasBody,
        arrived,
        arrived.plus(timeoutOf(head, admitted)),
        admitted.forwarded());
  }

  /** Returns the time from the arrival of a request until its final answer is due. */
  private static Duration timeoutOf(RequestHead head, RequestAdmission.Admitted admitted) {
    Duration routeTimeout = Duration.ofMillis(admitted.route().timeoutMillis());
    Duration timeout =
        admitted
            .forwarded()
            .map(forwarded -> Duration.ofMillis(forwarded.remainingMillis()))
            .orElse(head.callerTimeout().orElse(routeTimeout));
    return timeout.compareTo(routeTimeout) < 0 ? timeout : routeTimeout;
  }

  private String drawService(Route route) {
    int totalWeight = route.targets().stream().mapToInt(Route.WeightedTarget::weight).sum();
    int position = totalWeight > 0 ? random.nextInt(totalWeight) : 0;
    for (Route.WeightedTarget target : route.targets()) {
      position -= target.weight();
      if (position < 0) {
        return target.service();
      }
    }
    return route.targets().get(0).service();
  }

  /** A request from the arrival of its head to the end of its answer. */
  private final class OpenRequest {
    private final HttpServerRequest request;
    private final Instant arrived;
    private final CallerResponse callerResponse;
    private final RequestAdmission requestAdmission;
    private final Optional<CallerConnection> connection;
    private boolean occupiesPlace;
    private Optional<BodyReader> bodyReader = Optional.empty();
    private Optional<Exchange> exchange = Optional.empty();
    private String id = "";

    OpenRequest(
        HttpServerRequest request,
        Instant arrived,
        CallerResponse callerResponse,
        RequestAdmission requestAdmission) {
      this.request = request;
      this.arrived = arrived;
      this.callerResponse = callerResponse;
      this.requestAdmission = requestAdmission;
      this.connection = Optional.ofNullable(connections.get(request.connection()));
    }

    void begin() {
      openRequests.add(this);
      occupiesPlace = true;
      acceptWindow.requestBegan();
      connection.ifPresent(CallerConnection::requestBegan);
      request.response().endHandler(unused -> ended());
      if (admission.isStopping()) {
        callerResponse.closeConnectionAfterwards();
      }
    }

    private void ended() {
      openRequests.remove(this);
      releasePlace();
      bodyReader.ifPresent(BodyReader::stop);
      connection.ifPresent(CallerConnection::requestEnded);
    }

    /** A request that waits for its upstream uses neither the processor nor the link. */
    private void releasePlace() {
      if (occupiesPlace) {
        occupiesPlace = false;
        acceptWindow.requestReleased();
      }
    }

    /** Pauses the request until the instance is ready, for a limited time. */
    void awaitReadiness() {
      request.pause();
      waitingRequests.add(this);
      components
          .vertx()
          .setTimer(
              READINESS_TIMEOUT.toMillis(),
              unused -> {
                if (waitingRequests.remove(this)) {
                  proceed();
                }
              });
    }

    void proceed() {
      try {
        RequestHead head = requestAdmission.read(request);
        id = head.id();
        readBody(head, requestAdmission.admit(request, head));
      } catch (RefusedException e) {
        refuse(e.refusal());
        request.resume();
      } catch (RuntimeException | Error e) {
        fail(e);
        request.resume();
      }
    }

    /** Ends the request after an error of a handler, before it was handed to an exchange. */
    private void fail(Throwable error) {
      components.errors().record(error);
      try {
        bodyReader.ifPresent(BodyReader::stop);
        refuse(
            Refusal.retryAfter(
                RefusalReason.INTERNAL_ERROR, ErrorText.get().internalError, RETRY_DELAY));
      } catch (RuntimeException | Error e) {
        components.errors().record(e);
        callerResponse.abort();
      }
    }

    private void readBody(RequestHead head, RequestAdmission.Admitted admitted) {
      BodyReader reader =
          BodyReader.create(
              components,
              request,
              body -> startExchange(head, admitted, body),
              this::refuse,
              this::fail);
      bodyReader = Optional.of(reader);
      // A request that starts later is likely to miss its goal.
      Instant readBy = arrived.plusMillis(admitted.route().goalMillis() / 2);
      reader.start(readBy, arrived.plus(timeoutOf(head, admitted)));
    }

    private void startExchange(RequestHead head, RequestAdmission.Admitted admitted, Body body) {
      if (!callerResponse.isEnded()) {
        exchange =
            Optional.of(
                Exchange.start(
                    components,
                    callerResponse,
                    admittedRequest(request, head, admitted, body, arrived),
                    this::releasePlace));
      }
    }

    void checkBodyDeadline(Instant now) {
      bodyReader.ifPresent(reader -> reader.checkDeadline(now));
    }

    /** Ends the request because the process is about to end. */
    void endForShutdown() {
      if (exchange.isPresent()) {
        exchange.get().run(exchange.get()::endForShutdown);
      } else if (!callerResponse.isEnded()) {
        waitingRequests.remove(this);
        bodyReader.ifPresent(BodyReader::stop);
        refuse(Refusal.retryAfter(RefusalReason.STOPPING, ErrorText.get().stopping, RETRY_DELAY));
      }
    }

    void refuse(Refusal refusal) {
      components.meters().refused(refusal.reason());
      components
          .logLimit()
          .line(logger, id)
          .log(
              "refused %s before any attempt: %s path=%s host=%s",
              refusal.reason().text(), refusal.detail(), request.path(), request.getHeader("Host"));
      if (refusal.reason() == RefusalReason.HEADER_INVALID) {
        connection.ifPresent(CallerConnection::markFramingInvalid);
      }
      if (!request.isEnded()) {
        callerResponse.closeConnectionAfterwards();
      }
      callerResponse.refuse(refusal, id);
    }
  }
}
