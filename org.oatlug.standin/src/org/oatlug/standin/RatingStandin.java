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
 * Simulates the service that rates answers: an answer meets its target unless its version was
 * marked bad by {@code PUT /bad/VERSION}. Faults: {@code down}. Used from one event loop.
 */
public final class RatingStandin {
  private final Faults faults = new Faults();
  private final Set<String> badVersions = ConcurrentHashMap.newKeySet();

  private RatingStandin() {}

  /** Starts a rating service that listens on the given host and port. */
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
              badVersions.add(context.pathParam("version"));
              context.response().end("{}");
            });
    router
        .post("/rate")
        .handler(BodyHandler.create(false))
        .handler(
            context -> {
              if (faults.triggers("down")) {
                context.request().connection().close();
                return;
              }
              String version = context.body().asJsonObject().getString("version");
              JsonObject rating = new JsonObject().put("met", !badVersions.contains(version));
              context.response().end(rating.encode());
            });
    return router;
  }
}
