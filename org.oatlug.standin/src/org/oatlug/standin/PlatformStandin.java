// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.oatlug.internal.limit.TokenBucket;
import org.oatlug.internal.util.MonotonicClock;

/**
 * Simulates the platform: objects with versions, conditional updates, watches, rate limits and an
 * instance list. Faults: {@code down}, {@code loseReply} (a write takes effect but its response is
 * lost), {@code hang}, {@code staleRead} (a list returns a snapshot from before the last write),
 * {@code staleList} (a write does not renew that snapshot), {@code gap} (watches are not notified
 * of a write), {@code slowMillis} (delays each call). Used from one event loop.
 */
public final class PlatformStandin {
  private static final int WRITES_PER_SECOND = 100;
  private static final int READS_PER_SECOND = 2000;
  private static final int BODY_LIMIT = 1024 * 1024;
  private static final String CONFLICT = "conflict";

  private final Vertx vertx;
  private final Faults faults = new Faults();
  private final MonotonicClock clock = MonotonicClock.create();
  private final TokenBucket writes = TokenBucket.full(WRITES_PER_SECOND, clock.instant());
  private final TokenBucket reads = TokenBucket.full(READS_PER_SECOND, clock.instant());
  private final TreeMap<String, JsonObject> objects = new TreeMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private JsonArray instances = new JsonArray();
  private List<JsonObject> staleObjects = List.of();
  private long staleRevision;
  private long revision;
  private long writeCount;
  private long readCount;

  private PlatformStandin(Vertx vertx) {
    this.vertx = vertx;
  }

  private record Watch(Set<String> kinds, long since, RoutingContext context, long timer) {}

  /** Starts a platform that listens on the given host and port. */
  public static Future<HttpServer> start(Vertx vertx, String host, int port) {
    return vertx
        .createHttpServer()
        .requestHandler(new PlatformStandin(vertx).router())
        .listen(port, host);
  }

  private Router router() {
    Router router = Router.router(vertx);
    faults.addTo(router);
    router.get("/counts").handler(this::handleCounts);
    router
        .put("/instances")
        .handler(BodyHandler.create(false))
        .handler(
            context -> {
              instances = context.body().asJsonArray();
              context.response().end("{}");
            });
    router.route().handler(this::applyFaults);
    router.route().handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT));
    router.get("/objects/:kind/:name").handler(this::get);
    router.put("/objects/:kind/:name").handler(this::put);
    router.get("/objects").handler(this::list);
    router.get("/watch").handler(this::watch);
    router.get("/instances").handler(context -> reply(context, instances.encode()));
    return router;
  }

  private void handleCounts(RoutingContext context) {
    JsonObject counts = new JsonObject();
    counts.put("writes", writeCount).put("reads", readCount).put("watches", watches.size());
    context.response().end(counts.encode());
  }

  private void applyFaults(RoutingContext context) {
    boolean write = context.request().method().name().equals("PUT");
    if (faults.triggers("down")) {
      context.request().connection().close();
      return;
    }
    if (faults.triggers("hang")) {
      return;
    }
    boolean allowed =
        write
            ? writes.take(WRITES_PER_SECOND, clock.instant())
            : reads.take(READS_PER_SECOND, clock.instant());
    if (!allowed) {
      context.response().setStatusCode(429).end("{}");
      return;
    }
    writeCount += write ? 1 : 0;
    readCount += write ? 0 : 1;
    int delayMillis = faults.value("slowMillis");
    if (delayMillis > 0) {
      context.request().pause();
      vertx.setTimer(
          delayMillis,
          unused -> {
            context.request().resume();
            context.next();
          });
      return;
    }
    context.next();
  }

  private void get(RoutingContext context) {
    JsonObject object = objects.get(keyOf(context));
    if (object == null) {
      context.response().setStatusCode(404).end("{}");
      return;
    }
    reply(context, object.encode());
  }

  private void put(RoutingContext context) {
    String key = keyOf(context);
    JsonObject existing = objects.get(key);
    long version = existing == null ? 0 : existing.getLong("version");
    String expected = context.request().getHeader("If-Match");
    if (!Long.toString(version).equals(expected)) {
      JsonObject conflictBody = existing == null ? new JsonObject() : existing.copy();
      context.response().setStatusCode(412).end(conflictBody.put("error", CONFLICT).encode());
      return;
    }
    if (!faults.triggers("staleList")) {
      staleObjects = List.copyOf(objects.values());
      staleRevision = revision;
    }
    revision++;
    JsonObject object = new JsonObject();
    object.put("kind", context.pathParam("kind")).put("name", context.pathParam("name"));
    object.put("version", revision).put("value", context.body().asJsonObject());
    objects.put(key, object);
    if (!faults.triggers("gap")) {
      notifyWatches();
    }
    if (faults.triggers("loseReply")) {
      context.request().connection().close();
      return;
    }
    reply(context, new JsonObject().put("version", revision).encode());
  }

  private void list(RoutingContext context) {
    Set<String> kinds = kindsOf(context);
    if (faults.triggers("staleRead")) {
      reply(context, batch(kinds, staleObjects, -1, staleRevision));
      return;
    }
    reply(context, batch(kinds, objects.values(), -1, revision));
  }

  private void watch(RoutingContext context) {
    long since = Long.parseLong(context.request().getParam("since"));
    Set<String> kinds = kindsOf(context);
    if (since < revision && hasChanges(kinds, since)) {
      reply(context, batch(kinds, objects.values(), since, revision));
      return;
    }
    long waitMillis = Math.max(1, Long.parseLong(context.request().getParam("wait")));
    long timer = vertx.setTimer(waitMillis, unused -> completeWatch(context));
    Watch watch = new Watch(kinds, since, context, timer);
    watches.add(watch);
    context.response().closeHandler(unused -> removeWatch(watch));
  }

  private void completeWatch(RoutingContext context) {
    for (Watch watch : List.copyOf(watches)) {
      if (watch.context() == context) {
        removeWatch(watch);
        reply(context, batch(watch.kinds(), objects.values(), watch.since(), revision));
      }
    }
  }

  private void notifyWatches() {
    for (Watch watch : List.copyOf(watches)) {
      if (hasChanges(watch.kinds(), watch.since())) {
        completeWatch(watch.context());
      }
    }
  }

  private void removeWatch(Watch watch) {
    vertx.cancelTimer(watch.timer());
    watches.remove(watch);
  }

  private boolean hasChanges(Set<String> kinds, long since) {
    return objects.values().stream()
        .anyMatch(
            object ->
                object.getLong("version") > since && kinds.contains(object.getString("kind")));
  }

  private static String batch(
      Set<String> kinds, Iterable<JsonObject> candidates, long since, long revision) {
    JsonArray matching = new JsonArray();
    for (JsonObject object : candidates) {
      if (object.getLong("version") > since && kinds.contains(object.getString("kind"))) {
        matching.add(object);
      }
    }
    return new JsonObject().put("revision", revision).put("objects", matching).encode();
  }

  private static Set<String> kindsOf(RoutingContext context) {
    return Set.of(context.request().getParam("kinds").split(","));
  }

  private static String keyOf(RoutingContext context) {
    return context.pathParam("kind") + "/" + context.pathParam("name");
  }

  private static void reply(RoutingContext context, String body) {
    if (!context.response().ended() && !context.response().closed()) {
      context.response().putHeader("Content-Type", "application/json").end(body);
    }
  }
}
