// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;
import org.oatlug.gateway.GatewaySettings.Endpoint;
import org.oatlug.gateway.Generation;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.util.Json;

/**
 * Serves the readiness check of the load balancer, metrics for scraping, and status and
 * explanations for operators. Used from one event loop.
 */
public final class InspectionServer {
  /** The path that explains how a request would be routed. */
  static final String EXPLAIN_PATH = "/explain";

  /** The path that shows the status of the instance. */
  static final String STATUS_PATH = "/status";

  /** The path that lifts the refusal of a request that crashed upstreams. */
  static final String LET_RUN_PATH = "/let-run";

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;
  private static final int FAILED = 500;

  private final Vertx vertx;
  private final CollectorRegistry registry = new CollectorRegistry();
  private final BooleanSupplier ready;

  private InspectionServer(Vertx vertx, BooleanSupplier ready) {
    this.vertx = vertx;
    this.ready = ready;
  }

  /** Returns a server that does not listen yet. */
  public static InspectionServer create(Vertx vertx, Meters meters, BooleanSupplier ready) {
    InspectionServer server = new InspectionServer(vertx, ready);
    server.registry.register(new DropwizardExports(meters.registry()));
    return server;
  }

  /** Starts to serve the readiness check, on any path. */
  public Future<HttpServer> listenForReadiness(Endpoint endpoint) {
    return vertx
        .createHttpServer()
        .requestHandler(this::answerReady)
        .listen(endpoint.port(), endpoint.host());
  }

  /**
   * Starts to serve the metrics, in the text format of Prometheus, on any path but {@value
   * #EXPLAIN_PATH}, which explains how a request would be routed, {@value #STATUS_PATH}, which
   * shows the upstreams, the evacuated availability zones and the suspected requests, and {@value
   * #LET_RUN_PATH}, which clears one suspected request.
   *
   * @param components the components whose decisions are explained
   */
  public Future<HttpServer> listenForOperators(
      String host, int port, GatewayComponents components) {
    return vertx
        .createHttpServer()
        .requestHandler(request -> answerOperator(request, components))
        .listen(port, host);
  }

  private void answerOperator(HttpServerRequest request, GatewayComponents components) {
    switch (request.path()) {
      case EXPLAIN_PATH -> explain(request, components);
      case STATUS_PATH ->
          answer(request, Optional.of(InstanceStatus.of(components, ready.getAsBoolean())));
      case LET_RUN_PATH -> letRun(request, components);
      default -> showMetrics(request);
    }
  }

  /** Clears a suspected request; only by PUT, so that a mere GET has no effect. */
  private static void letRun(HttpServerRequest request, GatewayComponents components) {
    boolean forgotten =
        request.method().equals(HttpMethod.PUT)
            && components.crashes().clear(text(request, "request"));
    request
        .response()
        .setStatusCode(forgotten ? OK : NOT_FOUND)
        .putHeader("Content-Type", "application/json")
        .end("{\"forgotten\":" + forgotten + "}");
  }

  private static void explain(HttpServerRequest request, GatewayComponents components) {
    Generation generation =
        new Generation(
            "", number(request, "read"), number(request, "made"), List.of(), OptionalInt.empty());
    answer(
        request,
        RouteExplanation.of(components, text(request, "host"), text(request, "path"), generation));
  }

  private static void answer(HttpServerRequest request, Optional<?> body) {
    request
        .response()
        .setStatusCode(body.isPresent() ? OK : NOT_FOUND)
        .putHeader("Content-Type", "application/json")
        .end(body.map(content -> Json.STRICT.valueToTree(content).toString()).orElse("{}"));
  }

  private static String text(HttpServerRequest request, String name) {
    String value = request.getParam(name);
    return value == null ? "" : value;
  }

  /** Returns a number of the query, 0 if it is missing, malformed or longer than 9 digits. */
  private static int number(HttpServerRequest request, String name) {
    String value = text(request, name);
    return value.matches("\\d{1,9}") ? Integer.parseInt(value) : 0;
  }

  private void answerReady(HttpServerRequest request) {
    boolean isReady = ready.getAsBoolean();
    request
        .response()
        .setStatusCode(isReady ? OK : UNAVAILABLE)
        .end(isReady ? "ready" : "not ready");
  }

  private void showMetrics(HttpServerRequest request) {
    StringWriter text = new StringWriter();
    try {
      TextFormat.write004(text, registry.metricFamilySamples());
      request
          .response()
          .putHeader("Content-Type", TextFormat.CONTENT_TYPE_004)
          .end(text.toString());
    } catch (IOException e) {
      request.response().setStatusCode(FAILED).end(e.getMessage());
    }
  }
}
