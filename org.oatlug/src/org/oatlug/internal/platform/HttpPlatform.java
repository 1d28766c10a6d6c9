// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Settings;
import org.oatlug.errors.ConflictException;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreEpoch;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * The object API over HTTP and JSON.
 *
 * <p>Objects: {@code GET} and {@code PUT /objects/KIND/NAME} with {@code If-Match: VERSION}; lists:
 * {@code GET /objects?kinds=A,B}; watches: {@code GET /watch?kinds=A,B&since=REVISION&wait=MILLIS};
 * instances: {@code GET /instances}. Each answer may name the epoch of the store, {@code
 * Store-Epoch}. Used from one event loop.
 */
public final class HttpPlatform implements Platform {
  private static final long CALL_MILLIS = 1000;
  private static final long LIST_MILLIS = 5000;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 412;
  private static final String EPOCH = "Store-Epoch";

  private final StoreCalls calls = StoreCalls.create(EPOCH, Set.of(OK, NOT_FOUND, CONFLICT));
  private final WebClient client;

  private HttpPlatform(WebClient client) {
    this.client = client;
  }

  /** Returns the adapter of the platform at {@code address}. */
  public static HttpPlatform create(Vertx vertx, Settings.Address address) {
    WebClientOptions options =
        new WebClientOptions()
            .setDefaultHost(address.host())
            .setDefaultPort(address.port())
            .setConnectTimeout((int) CALL_MILLIS);
    return new HttpPlatform(WebClient.create(vertx, options));
  }

  @Override
  public Uni<Optional<StoredObject>> get(ObjectKey key) {
    HttpRequest<Buffer> request = client.get(pathOf(key)).timeout(CALL_MILLIS);
    return calls.call("get " + key, request::send).map(answer -> objectIn(key, answer));
  }

  @Override
  public Uni<Batch> list(List<String> kinds) {
    HttpRequest<Buffer> request =
        client.get("/objects").addQueryParam("kinds", String.join(",", kinds)).timeout(LIST_MILLIS);
    return calls.call("list", request::send).map(HttpPlatform::batchIn);
  }

  @Override
  public Uni<Batch> watch(List<String> kinds, StoreRevision revision, Duration wait) {
    HttpRequest<Buffer> request =
        client
            .get("/watch")
            .addQueryParam("kinds", String.join(",", kinds))
            .addQueryParam("since", Long.toString(revision.number()))
            .addQueryParam("wait", Long.toString(wait.toMillis()))
            .timeout(wait.toMillis() + CALL_MILLIS);
    return calls.call("watch", request::send).map(HttpPlatform::batchIn);
  }

  @Override
  public Uni<StoreRevision> put(ObjectKey key, StoreRevision expected, JsonNode value) {
    if (calls.isOutdated(expected)) {
      return Uni.createFrom().failure(new ConflictException(key, expected, Optional.empty()));
    }
    Buffer body = Buffer.buffer(value.toString());
    HttpRequest<Buffer> request =
        client
            .put(pathOf(key))
            .putHeader("If-Match", Long.toString(expected.number()))
            .putHeader("Content-Type", "application/json")
            .timeout(CALL_MILLIS);
    return calls
        .call("put " + key, () -> request.sendBuffer(body))
        .onItem()
        .transformToUni(
            answer -> {
              if (answer.status() == CONFLICT) {
                Optional<StoredObject> current = objectIn(key, answer);
                return Uni.createFrom().failure(new ConflictException(key, expected, current));
              }
              if (calls.isOutdated(expected)) {
                return Uni.createFrom().failure(calls.outdated("put " + key, expected.epoch()));
              }
              return Uni.createFrom().item(answer.revision(answer.body().path("version")));
            });
  }

  @Override
  public Uni<List<ListedInstance>> instances() {
    HttpRequest<Buffer> request = client.get("/instances").timeout(CALL_MILLIS);
    return calls
        .call("instances", request::send)
        .map(
            answer -> {
              List<ListedInstance> listed = new ArrayList<>();
              for (JsonNode node : answer.body()) {
                listed.add(Json.STRICT.convertValue(node, ListedInstance.class));
              }
              return listed;
            });
  }

  @Override
  public StoreEpoch epoch() {
    return calls.epoch();
  }

  private static String pathOf(ObjectKey key) {
    return "/objects/" + key.kind() + "/" + key.name();
  }

  private static Optional<StoredObject> objectIn(ObjectKey key, StoreCalls.Answer answer) {
    JsonNode node = answer.body();
    if (answer.status() == NOT_FOUND || !node.has("version")) {
      return Optional.empty();
    }
    return Optional.of(
        StoredObject.of(key, answer.revision(node.path("version")), node.get("value")));
  }

  private static Batch batchIn(StoreCalls.Answer answer) {
    JsonNode node = answer.body();
    List<StoredObject> objects = new ArrayList<>();
    for (JsonNode one : node.path("objects")) {
      ObjectKey key = ObjectKey.valueOf(one.path("kind").asText(), one.path("name").asText());
      objects.add(StoredObject.of(key, answer.revision(one.path("version")), one.get("value")));
    }
    return new Batch(answer.revision(node.path("revision")), objects);
  }
}
