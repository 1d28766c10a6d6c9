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
 * Simulates a model engine: slots, a queue, prefill and decode times, a prefix cache, load reports,
 * and a record of each request that ran. Faults: {@code refuse}, {@code fail}, {@code cutAfter}
 * (closes the connection after that many tokens), {@code hang}, {@code leaving} (set in load
 * reports), {@code slowFactor} (multiplies prefill and decode times), {@code wrongRequest}
 * (responds with the id of another request). Used from one event loop.
 */
public final class EngineStandin {
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int DEFAULT_TOKENS = 16;
  private static final int MAX_CACHED_PREFIXES = 64;
  private static final int PREFIX_CHARACTERS = 512;
  private static final double PREFILL_MILLIS_PER_TOKEN = 0.05;

  private final Vertx vertx;
  private final String name;
  private final Capacity capacity;
  private final Faults faults = new Faults();
  private final JsonArray records = new JsonArray();
  private final Deque<Job> queue = new ArrayDeque<>();
  private final Map<Integer, Boolean> cachedPrefixes = new LinkedHashMap<>();
  private int runningJobs;

  private EngineStandin(Vertx vertx, String name, Capacity capacity) {
    this.vertx = vertx;
    this.name = name;
    this.capacity = capacity;
  }

  /**
   * Slots and decode time of an engine.
   *
   * @param slots the number of requests that run concurrently
   * @param decodeMillis the time per output token, in milliseconds
   */
  public record Capacity(int slots, int decodeMillis) {}

  private final class Job {
    private final RoutingContext context;
    private final JsonObject record;
    private final boolean stream;
    private final int tokens;
    private final int promptTokens;
    private final boolean prefixCached;
    private String responseId = "";
    private int sentTokens;
    private boolean disconnected;

    Job(RoutingContext context, JsonObject body, JsonObject record) {
      this.context = context;
      this.record = record;
      this.stream = body.getBoolean("stream", false);
      this.tokens = body.getInteger("max_tokens", DEFAULT_TOKENS);
      String prompt = body.getJsonArray("messages").encode();
      this.promptTokens = prompt.length() / CHARACTERS_PER_TOKEN;
      int prefixHash = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length())).hashCode();
      this.prefixCached = cachedPrefixes.put(prefixHash, true) != null;
      if (cachedPrefixes.size() > MAX_CACHED_PREFIXES) {
        cachedPrefixes.remove(cachedPrefixes.keySet().iterator().next());
      }
    }
  }

  /** Starts an engine that listens on the given host and port. */
  public static Future<HttpServer> start(
      Vertx vertx, String name, String host, int port, Capacity capacity) {
    EngineStandin engine = new EngineStandin(vertx, name, capacity);
    return vertx.createHttpServer().requestHandler(engine.router()).listen(port, host);
  }

  private Router router() {
    Router router = Router.router(vertx);
    faults.addTo(router);
    router.get("/records").handler(context -> context.response().end(records.encode()));
    router.get("/load").handler(this::handleLoad);
    router
        .post("/v1/chat/completions")
        .handler(BodyHandler.create(false))
        .handler(this::handleChat);
    return router;
  }

  private void handleLoad(RoutingContext context) {
    JsonObject report = new JsonObject();
    report.put("running", runningJobs).put("waiting", queue.size());
    report.put("leaving", faults.value("leaving") != 0);
    context.response().end(report.encode());
  }

  private void handleChat(RoutingContext context) {
    if (faults.triggers("refuse")) {
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
    if (faults.triggers("fail")) {
      record.put("end", "failed");
      context.response().setStatusCode(500).end("{}");
      return;
    }
    if (faults.triggers("hang")) {
      return;
    }
    Job job = new Job(context, body, record);
    context
        .response()
        .closeHandler(
            unused -> {
              job.disconnected = true;
              if (record.getString("end").equals("open")) {
                record.put("end", "cancelled");
              }
            });
    queue.add(job);
    startQueuedJobs();
  }

  private void startQueuedJobs() {
    while (runningJobs < capacity.slots() && !queue.isEmpty()) {
      Job job = queue.poll();
      if (!job.disconnected) {
        runningJobs++;
        double prefillMillis = job.prefixCached ? 0 : job.promptTokens * PREFILL_MILLIS_PER_TOKEN;
        vertx.setTimer(1 + (long) (prefillMillis * slowdownFactor()), unused -> startResponse(job));
      }
    }
  }

  private int slowdownFactor() {
    return Math.max(1, faults.value("slowFactor"));
  }

  private void startResponse(Job job) {
    String id = job.record.getString("requestId", "");
    job.responseId = faults.triggers("wrongRequest") ? "another" : id;
    HttpServerResponse response = job.context.response();
    if (job.disconnected) {
      releaseSlot(job);
      return;
    }
    response.putHeader("X-Request-Id", job.responseId).putHeader("X-Engine", name);
    if (job.stream) {
      response.setChunked(true).putHeader("Content-Type", "text/event-stream");
    }
    generateNextToken(job);
  }

  private void generateNextToken(Job job) {
    int cutAfter = faults.value("cutAfter");
    if (cutAfter > 0 && job.sentTokens >= cutAfter) {
      job.record.put("end", "cut");
      job.context.request().connection().close();
      releaseSlot(job);
      return;
    }
    if (job.disconnected) {
      releaseSlot(job);
      return;
    }
    if (job.sentTokens >= job.tokens) {
      complete(job);
      return;
    }
    long tokenMillis = Math.max(1, (long) capacity.decodeMillis() * slowdownFactor());
    vertx.setTimer(
        tokenMillis,
        unused -> {
          job.sentTokens++;
          if (job.stream && !job.disconnected) {
            job.context.response().write("data: " + chunk(job) + "\n\n");
          }
          generateNextToken(job);
        });
  }

  private String chunk(Job job) {
    JsonObject delta = new JsonObject().put("content", "t" + job.sentTokens + " ");
    JsonObject choice = new JsonObject().put("index", 0).put("delta", delta);
    return new JsonObject()
        .put("id", job.responseId)
        .put("object", "chat.completion.chunk")
        .put("model", job.record.getString("version"))
        .put("choices", new JsonArray().add(choice))
        .encode();
  }

  private void complete(Job job) {
    job.record.put("end", "whole").put("tokens", job.sentTokens);
    if (job.stream) {
      job.context.response().end("data: [DONE]\n\n");
    } else {
      job.context.response().end(completeResponse(job));
    }
    releaseSlot(job);
  }

  private String completeResponse(Job job) {
    StringBuilder text = new StringBuilder();
    for (int token = 1; token <= job.tokens; token++) {
      text.append('t').append(token).append(' ');
    }
    JsonObject message = new JsonObject();
    message.put("role", "assistant").put("content", text.toString());
    JsonObject choice = new JsonObject().put("index", 0).put("message", message);
    JsonObject usage = new JsonObject();
    usage.put("prompt_tokens", job.promptTokens).put("completion_tokens", job.sentTokens);
    return new JsonObject()
        .put("id", job.responseId)
        .put("object", "chat.completion")
        .put("model", job.record.getString("version"))
        .put("choices", new JsonArray().add(choice))
        .put("usage", usage)
        .encode();
  }

  private void releaseSlot(Job job) {
    runningJobs--;
    startQueuedJobs();
  }
}
