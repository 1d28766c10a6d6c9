// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stands in for the answer rating: an answer meets its target unless its version was declared bad
 * by {@code PUT /bad/VERSION}. Faults: {@code down}. Used from one event loop.
 */
public final class RatingStandin {
  private final Faults faults = new Faults();
  private final Set<String> bad = ConcurrentHashMap.newKeySet();

  private RatingStandin() {}

  /** Starts a rating service. */
  public static Future<HttpServer> start(Vertx vertx, String host, int port) {
    return vertx
        .createHttpServer()
        .requestHandler(new RatingStandin().router(vertx))
        .listen(port, host);
  }

  private Router router(Vertx vertx) {
    Router router = Router.router(vertx);
    faults.addTo(router);
    router
        .put("/bad/:version")
        .handler(
            context -> {
              bad.add(context.pathParam("version"));
              context.response().end("{}");
            });
    router
        .post("/rate")
        .handler(BodyHandler.create(false))
        .handler(
            context -> {
              if (faults.strikes("down")) {
                context.request().connection().close();
                return;
              }
              String version = context.body().asJsonObject().getString("version");
              JsonObject answer = new JsonObject().put("met", !bad.contains(version));
              context.response().end(answer.encode());
            });
    return router;
  }
}
