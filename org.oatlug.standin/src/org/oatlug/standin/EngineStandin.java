// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Stands in for a model engine: slots, a queue, prefill and decode times, a prefix cache, load
 * reports, and a record of each request that ran. Faults: {@code refuse}, {@code fail}, {@code
 * cutAfter} (cuts the stream after so many tokens), {@code hang}, {@code leaving}, {@code
 * slowFactor}, {@code wrongRequest}. Used from one event loop.
 */
public final class EngineStandin {
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int DEFAULT_TOKENS = 16;
  private static final int CACHED_PREFIXES = 64;
  private static final int PREFIX_CHARACTERS = 512;
  private static final double PREFILL_MILLIS_PER_TOKEN = 0.05;

  private final Vertx vertx;
  private final String name;
  private final Speed speed;
  private final Faults faults = new Faults();
  private final JsonArray records = new JsonArray();
  private final Deque<Job> queue = new ArrayDeque<>();
  private final Map<Integer, Boolean> prefixes = new LinkedHashMap<>();
  private int running;

  private EngineStandin(Vertx vertx, String name, Speed speed) {
    this.vertx = vertx;
    this.name = name;
    this.speed = speed;
  }

  /**
   * How fast an engine is.
   *
   * @param slots how many requests run at once
   * @param decodeMillis the time of a token
   */
  public record Speed(int slots, int decodeMillis) {}

  private final class Job {
    private final RoutingContext context;
    private final JsonObject record;
    private final boolean stream;
    private final int tokens;
    private final int promptTokens;
    private final boolean cached;
    private String answeredId = "";
    private int sent;
    private boolean gone;

    Job(RoutingContext context, JsonObject body, JsonObject record) {
      this.context = context;
      this.record = record;
      this.stream = body.getBoolean("stream", false);
      this.tokens = body.getInteger("max_tokens", DEFAULT_TOKENS);
      String prompt = body.getJsonArray("messages").encode();
      this.promptTokens = prompt.length() / CHARACTERS_PER_TOKEN;
      int prefix = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length())).hashCode();
      this.cached = prefixes.put(prefix, true) != null;
      if (prefixes.size() > CACHED_PREFIXES) {
        prefixes.remove(prefixes.keySet().iterator().next());
      }
    }
  }

  /** Starts an engine. */
  public static Future<HttpServer> start(
      Vertx vertx, String name, String host, int port, Speed speed) {
    EngineStandin engine = new EngineStandin(vertx, name, speed);
    return vertx.createHttpServer().requestHandler(engine.router()).listen(port, host);
  }

  private Router router() {
    Router router = Router.router(vertx);
    faults.addTo(router);
    router.get("/records").handler(context -> context.response().end(records.encode()));
    router.get("/load").handler(this::load);
    router.post("/v1/chat/completions").handler(BodyHandler.create(false)).handler(this::chat);
    return router;
  }

  private void load(RoutingContext context) {
    JsonObject report = new JsonObject();
    report.put("running", running).put("waiting", queue.size());
    report.put("leaving", faults.value("leaving") != 0);
    context.response().end(report.encode());
  }

  private void chat(RoutingContext context) {
    if (faults.strikes("refuse")) {
      context.response().setStatusCode(503).end("{}");
      return;
    }
    JsonObject body = context.body().asJsonObject();
    JsonObject record = new JsonObject();
    record.put("requestId", context.request().getHeader("X-Request-Id"));
    record.put("workspace", context.request().getHeader("X-Workspace"));
    record.put("version", body.getString("model"));
    record.put("leaving", faults.value("leaving") != 0);
    record.put("ran", true).put("end", "open");
    records.add(record);
    if (faults.strikes("fail")) {
      record.put("end", "failed");
      context.response().setStatusCode(500).end("{}");
      return;
    }
    if (faults.strikes("hang")) {
      return;
    }
    Job job = new Job(context, body, record);
    context
        .response()
        .closeHandler(
            unused -> {
              job.gone = true;
              if (record.getString("end").equals("open")) {
                record.put("end", "cancelled");
              }
            });
    queue.add(job);
    startNext();
  }

  private void startNext() {
    while (running < speed.slots() && !queue.isEmpty()) {
      Job job = queue.poll();
      if (!job.gone) {
        running++;
        double prefill = job.cached ? 0 : job.promptTokens * PREFILL_MILLIS_PER_TOKEN;
        vertx.setTimer(1 + (long) (prefill * slowFactor()), unused -> begin(job));
      }
    }
  }

  private int slowFactor() {
    return Math.max(1, faults.value("slowFactor"));
  }

  private void begin(Job job) {
    String id = job.record.getString("requestId", "");
    job.answeredId = faults.strikes("wrongRequest") ? "another" : id;
    HttpServerResponse response = job.context.response();
    if (job.gone) {
      finish(job);
      return;
    }
    response.putHeader("X-Request-Id", job.answeredId).putHeader("X-Engine", name);
    if (job.stream) {
      response.setChunked(true).putHeader("Content-Type", "text/event-stream");
    }
    step(job);
  }

  private void step(Job job) {
    int cutAfter = faults.value("cutAfter");
    if (cutAfter > 0 && job.sent >= cutAfter) {
      job.record.put("end", "cut");
      job.context.request().connection().close();
      finish(job);
      return;
    }
    if (job.gone) {
      finish(job);
      return;
    }
    if (job.sent >= job.tokens) {
      close(job);
      return;
    }
    long pause = Math.max(1, (long) speed.decodeMillis() * slowFactor());
    vertx.setTimer(
        pause,
        unused -> {
          job.sent++;
          if (job.stream && !job.gone) {
            job.context.response().write("data: " + chunk(job) + "\n\n");
          }
          step(job);
        });
  }

  private String chunk(Job job) {
    JsonObject delta = new JsonObject().put("content", "t" + job.sent + " ");
    JsonObject choice = new JsonObject().put("index", 0).put("delta", delta);
    return new JsonObject()
        .put("id", job.answeredId)
        .put("object", "chat.completion.chunk")
        .put("model", job.record.getString("version"))
        .put("choices", new JsonArray().add(choice))
        .encode();
  }

  private void close(Job job) {
    job.record.put("end", "whole").put("tokens", job.sent);
    if (job.stream) {
      job.context.response().end("data: [DONE]\n\n");
    } else {
      job.context.response().end(wholeAnswer(job));
    }
    finish(job);
  }

  private String wholeAnswer(Job job) {
    StringBuilder text = new StringBuilder();
    for (int token = 1; token <= job.tokens; token++) {
      text.append('t').append(token).append(' ');
    }
    JsonObject message = new JsonObject();
    message.put("role", "assistant").put("content", text.toString());
    JsonObject choice = new JsonObject().put("index", 0).put("message", message);
    JsonObject usage = new JsonObject();
    usage.put("prompt_tokens", job.promptTokens).put("completion_tokens", job.sent);
    return new JsonObject()
        .put("id", job.answeredId)
        .put("object", "chat.completion")
        .put("model", job.record.getString("version"))
        .put("choices", new JsonArray().add(choice))
        .put("usage", usage)
        .encode();
  }

  private void finish(Job job) {
    running--;
    startNext();
  }
}
