// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.PoolOptions;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClientOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Settings;
import org.oatlug.errors.ConflictException;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreEpoch;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Client of the object API over HTTP and JSON.
 *
 * <p>Objects: {@code GET} and {@code PUT /objects/KIND/NAME} with {@code If-Match: VERSION}; lists:
 * {@code GET /objects?kinds=A,B}; watches: {@code GET /watch?kinds=A,B&since=REVISION&wait=MILLIS};
 * instances: {@code GET /instances}. Each response may name the epoch of the store in the header
 * {@code Store-Epoch}. Used from one event loop.
 */
public final class HttpPlatform implements Platform {
  private static final long CALL_TIMEOUT_MILLIS = 1000;
  private static final long LIST_TIMEOUT_MILLIS = 5000;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 412;
  private static final String EPOCH_HEADER = "Store-Epoch";

  private final StoreCalls calls = StoreCalls.create(EPOCH_HEADER, Set.of(OK, NOT_FOUND, CONFLICT));
  private final StoreConnections connections;

  private HttpPlatform(StoreConnections connections) {
    this.connections = connections;
  }

  /** Returns the client of the platform at {@code address}. */
  public static HttpPlatform create(Vertx vertx, Settings.Address address) {
    WebClientOptions options =
        new WebClientOptions()
            .setDefaultHost(address.host())
            .setDefaultPort(address.port())
            .setConnectTimeout((int) CALL_TIMEOUT_MILLIS);
    return new HttpPlatform(StoreConnections.create(vertx, options, new PoolOptions()));
  }

  @Override
  public Uni<Optional<StoredObject>> get(ObjectKey key) {
    return calls
        .call("get " + key, () -> connections.get(pathOf(key), CALL_TIMEOUT_MILLIS, request -> {}))
        .map(response -> objectOf(key, response));
  }

  @Override
  public Uni<Batch> list(List<String> kinds) {
    Consumer<HttpRequest<Buffer>> query =
        request -> request.addQueryParam("kinds", String.join(",", kinds));
    return calls
        .call("list", () -> connections.get("/objects", LIST_TIMEOUT_MILLIS, query))
        .map(HttpPlatform::batchOf);
  }

  @Override
  public Uni<Batch> watch(List<String> kinds, StoreRevision revision, Duration wait) {
    Consumer<HttpRequest<Buffer>> query =
        request ->
            request
                .addQueryParam("kinds", String.join(",", kinds))
                .addQueryParam("since", Long.toString(revision.number()))
                .addQueryParam("wait", Long.toString(wait.toMillis()));
    long timeoutMillis = wait.toMillis() + CALL_TIMEOUT_MILLIS;
    return calls
        .call("watch", () -> connections.get("/watch", timeoutMillis, query))
        .map(HttpPlatform::batchOf);
  }

  @Override
  public void renewConnections() {
    connections.renew();
  }

  @Override
  public Uni<StoreRevision> put(ObjectKey key, StoreRevision expected, JsonNode value) {
    if (calls.isOfEarlierEpoch(expected)) {
      return Uni.createFrom().failure(new ConflictException(key, expected, Optional.empty()));
    }
    Buffer body = Buffer.buffer(value.toString());
    return calls
        .call("put " + key, () -> sendWrite(key, expected, body))
        .onItem()
        .transformToUni(
            response -> {
              if (response.status() == CONFLICT) {
                Optional<StoredObject> current = objectOf(key, response);
                return Uni.createFrom().failure(new ConflictException(key, expected, current));
              }
              if (calls.isOfEarlierEpoch(expected)) {
                return Uni.createFrom()
                    .failure(calls.earlierEpochFailure("put " + key, expected.epoch()));
              }
              return Uni.createFrom().item(response.revision(response.body().path("version")));
            });
  }

  private Future<HttpResponse<Buffer>> sendWrite(
      ObjectKey key, StoreRevision expected, Buffer body) {
    return connections.send(
        client ->
            client
                .put(pathOf(key))
                .putHeader("If-Match", Long.toString(expected.number()))
                .putHeader("Content-Type", "application/json")
                .timeout(CALL_TIMEOUT_MILLIS)
                .sendBuffer(body));
  }

  @Override
  public Uni<List<ListedInstance>> instances() {
    return calls
        .call("instances", () -> connections.get("/instances", CALL_TIMEOUT_MILLIS, request -> {}))
        .map(
            response -> {
              List<ListedInstance> listed = new ArrayList<>();
              for (JsonNode node : response.body()) {
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

  private static Optional<StoredObject> objectOf(ObjectKey key, StoreCalls.Response response) {
    JsonNode node = response.body();
    if (response.status() == NOT_FOUND || !node.has("version")) {
      return Optional.empty();
    }
    return Optional.of(
        StoredObject.of(key, response.revision(node.path("version")), node.get("value")));
  }

  private static Batch batchOf(StoreCalls.Response response) {
    JsonNode node = response.body();
    List<StoredObject> objects = new ArrayList<>();
    for (JsonNode entry : node.path("objects")) {
      ObjectKey key = ObjectKey.valueOf(entry.path("kind").asText(), entry.path("name").asText());
      objects.add(
          StoredObject.of(key, response.revision(entry.path("version")), entry.get("value")));
    }
    return new Batch(response.revision(node.path("revision")), objects);
  }
}
