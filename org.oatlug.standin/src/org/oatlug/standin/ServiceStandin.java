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
 * Stands in for a plain service that counts how often each key ran. Faults: {@code refuse}, {@code
 * cutAfterRun} (runs and then cuts the connection), {@code hang} (runs and never answers), {@code
 * slowMillis}. Used from one event loop.
 */
public final class ServiceStandin {
  private final Vertx vertx;
  private final Faults faults = new Faults();
  private final Map<String, Integer> runs = new TreeMap<>();
  private int inProgress;

  private ServiceStandin(Vertx vertx) {
    this.vertx = vertx;
  }

  /** Starts a service. */
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
    router.get("/load").handler(this::load);
    router.route().handler(BodyHandler.create(false)).handler(this::run);
    return router;
  }

  private void load(RoutingContext context) {
    JsonObject report = new JsonObject();
    report.put("running", inProgress).put("waiting", 0);
    report.put("leaving", faults.value("leaving") != 0);
    context.response().end(report.encode());
  }

  private void run(RoutingContext context) {
    if (faults.strikes("refuse")) {
      context.response().setStatusCode(503).end("{}");
      return;
    }
    String header = context.request().getHeader("Idempotency-Key");
    String key = header == null ? "no key" : header;
    final int count = runs.merge(key, 1, Integer::sum);
    inProgress++;
    if (faults.strikes("cutAfterRun")) {
      inProgress--;
      context.request().connection().close();
      return;
    }
    if (faults.strikes("hang")) {
      inProgress--;
      return;
    }
    int slow = Math.max(1, faults.value("slowMillis"));
    vertx.setTimer(slow, unused -> answer(context, key, count));
  }

  private void answer(RoutingContext context, String key, int count) {
    inProgress--;
    JsonObject answer = new JsonObject().put("key", key).put("run", count);
    context.response().putHeader("Content-Type", "application/json").end(answer.encode());
  }
}
