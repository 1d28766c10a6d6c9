// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.util.Optional;
import org.oatlug.config.Settings;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.util.HttpClients;
import org.oatlug.internal.util.Unis;

/**
 * Asks the rating service whether an answer meets its quality target.
 *
 * <p>An unavailable service yields an empty result rather than a failure. Used from one event loop.
 */
public final class RatingClient {
  private static final long TIMEOUT_MILLIS = 500;
  private static final int OK = 200;

  private final Optional<Settings.Address> address;
  private final WebClient client;
  private final Meters meters;

  private RatingClient(Optional<Settings.Address> address, WebClient client, Meters meters) {
    this.address = address;
    this.client = client;
    this.meters = meters;
  }

  /** Returns a client of the service at {@code address}; without one all results are empty. */
  public static RatingClient create(
      Vertx vertx, Optional<Settings.Address> address, Meters meters) {
    return new RatingClient(address, HttpClients.createWebClient(vertx), meters);
  }

  /**
   * An answer to be rated.
   *
   * @param requestId the id of the request
   * @param workspace the workspace of the caller
   * @param task the task name that the caller gave
   * @param version the version that produced the answer
   * @param text the text of the answer
   */
  public record Answer(
      String requestId, String workspace, String task, String version, String text) {}

  /** Returns whether the answer meets the target, empty if the service does not report it. */
  public Uni<Optional<Boolean>> rate(Answer answer) {
    if (address.isEmpty()) {
      return Uni.createFrom().item(Optional.empty());
    }
    JsonObject body =
        new JsonObject()
            .put("requestId", answer.requestId())
            .put("workspace", answer.workspace())
            .put("task", answer.task())
            .put("version", answer.version())
            .put("text", answer.text());
    return Unis.fromFuture(
            () ->
                client
                    .post(address.get().port(), address.get().host(), "/rate")
                    .timeout(TIMEOUT_MILLIS)
                    .sendJsonObject(body))
        .map(RatingClient::parse)
        .onFailure()
        .recoverWithItem(Optional.empty())
        .invoke(
            result -> {
              if (result.isEmpty()) {
                meters.count("rating.missing");
              }
            });
  }

  private static Optional<Boolean> parse(HttpResponse<Buffer> response) {
    if (response.statusCode() != OK) {
      return Optional.empty();
    }
    return Optional.ofNullable(response.bodyAsJsonObject().getBoolean("met"));
  }
}
