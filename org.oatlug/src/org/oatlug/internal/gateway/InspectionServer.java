// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.io.StringWriter;
import java.util.function.BooleanSupplier;
import org.oatlug.gateway.GatewaySettings.Endpoint;
import org.oatlug.internal.metrics.Meters;

/** Answers the balancer whether the instance is ready, and shows its counters. One event loop. */
public final class InspectionServer {
  private static final int OK = 200;
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

  /** Starts to answer whether the instance is ready, on any path. */
  public Future<HttpServer> listenForReadiness(Endpoint endpoint) {
    return vertx
        .createHttpServer()
        .requestHandler(this::answerReady)
        .listen(endpoint.port(), endpoint.host());
  }

  /** Starts to show the counters, on any path, in the text form of Prometheus. */
  public Future<HttpServer> listenForMetrics(String host, int port) {
    return vertx.createHttpServer().requestHandler(this::showMetrics).listen(port, host);
  }

  private void answerReady(HttpServerRequest request) {
    boolean now = ready.getAsBoolean();
    request.response().setStatusCode(now ? OK : UNAVAILABLE).end(now ? "ready" : "not ready");
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
