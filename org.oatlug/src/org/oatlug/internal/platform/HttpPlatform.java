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
  private final WebClient client;

  private HttpPlatform(WebClient client) {
    this.client = client;
  }

  /** Returns the client of the platform at {@code address}. */
  public static HttpPlatform create(Vertx vertx, Settings.Address address) {
    WebClientOptions options =
        new WebClientOptions()
            .setDefaultHost(address.host())
            .setDefaultPort(address.port())
            .setConnectTimeout((int) CALL_TIMEOUT_MILLIS);
    return new HttpPlatform(WebClient.create(vertx, options));
  }

  @Override
  public Uni<Optional<StoredObject>> get(ObjectKey key) {
    HttpRequest<Buffer> request = client.get(pathOf(key)).timeout(CALL_TIMEOUT_MILLIS);
    return calls.call("get " + key, request::send).map(response -> objectOf(key, response));
  }

  @Override
  public Uni<Batch> list(List<String> kinds) {
    HttpRequest<Buffer> request =
        client
            .get("/objects")
            .addQueryParam("kinds", String.join(",", kinds))
            .timeout(LIST_TIMEOUT_MILLIS);
    return calls.call("list", request::send).map(HttpPlatform::batchOf);
  }

  @Override
  public Uni<Batch> watch(List<String> kinds, StoreRevision revision, Duration wait) {
    HttpRequest<Buffer> request =
        client
            .get("/watch")
            .addQueryParam("kinds", String.join(",", kinds))
            .addQueryParam("since", Long.toString(revision.number()))
            .addQueryParam("wait", Long.toString(wait.toMillis()))
            .timeout(wait.toMillis() + CALL_TIMEOUT_MILLIS);
    return calls.call("watch", request::send).map(HttpPlatform::batchOf);
  }

  @Override
  public Uni<StoreRevision> put(ObjectKey key, StoreRevision expected, JsonNode value) {
    if (calls.isOfEarlierEpoch(expected)) {
      return Uni.createFrom().failure(new ConflictException(key, expected, Optional.empty()));
    }
    Buffer body = Buffer.buffer(value.toString());
    HttpRequest<Buffer> request =
        client
            .put(pathOf(key))
            .putHeader("If-Match", Long.toString(expected.number()))
            .putHeader("Content-Type", "application/json")
            .timeout(CALL_TIMEOUT_MILLIS);
    return calls
        .call("put " + key, () -> request.sendBuffer(body))
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

  @Override
  public Uni<List<ListedInstance>> instances() {
    HttpRequest<Buffer> request = client.get("/instances").timeout(CALL_TIMEOUT_MILLIS);
    return calls
        .call("instances", request::send)
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
