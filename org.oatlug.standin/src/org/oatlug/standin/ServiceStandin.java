// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.Map;
import java.util.TreeMap;

/**
 * Simulates a plain service that counts how often it ran the request of each idempotency key.
 * Faults: {@code refuse}, {@code cutAfterRun} (runs and then closes the connection), {@code hang}
 * (runs and never responds), {@code leaving} (set in load reports), {@code slowMillis} (delays each
 * response). Used from one event loop.
 */
public final class ServiceStandin {
  private final Vertx vertx;
  private final Faults faults = new Faults();
  private final Map<String, Integer> runs = new TreeMap<>();
  private int inProgress;

  private ServiceStandin(Vertx vertx) {
    this.vertx = vertx;
  }

  /** Starts a service that listens on the given host and port. */
  public static Future<HttpServer> start(Vertx vertx, String host, int port) {
    ServiceStandin service = new ServiceStandin(vertx);
    return vertx.createHttpServer().requestHandler(service.router()).listen(port, host);
  }

  private Router router() {
    Router router = Router.router(vertx);
    faults.addTo(router);
    router
        .get("/runs")
        .handler(context -> context.response().end(JsonObject.mapFrom(runs).encode()));
    router.get("/load").handler(this::handleLoad);
    router.route().handler(BodyHandler.create(false)).handler(this::handleRun);
    return router;
  }

  private void handleLoad(RoutingContext context) {
    JsonObject report = new JsonObject();
    report.put("running", inProgress).put("waiting", 0);
    report.put("leaving", faults.value("leaving") != 0);
    context.response().end(report.encode());
  }

  private void handleRun(RoutingContext context) {
    if (faults.triggers("refuse")) {
      context.response().setStatusCode(503).end("{}");
      return;
    }
    String header = context.request().getHeader("Idempotency-Key");
    String key = header == null ? "no key" : header;
    final int count = runs.merge(key, 1, Integer::sum);
    inProgress++;
    if (faults.triggers("cutAfterRun")) {
      inProgress--;
      context.request().connection().close();
      return;
    }
    if (faults.triggers("hang")) {
      inProgress--;
      return;
    }
    int delayMillis = Math.max(1, faults.value("slowMillis"));
    vertx.setTimer(delayMillis, unused -> respond(context, key, count));
  }

  private void respond(RoutingContext context, String key, int count) {
    inProgress--;
    JsonObject body = new JsonObject().put("key", key).put("run", count);
    context.response().putHeader("Content-Type", "application/json").end(body.encode());
  }
}
