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
import org.oatlug.internal.util.Unis;

/**
 * Asks the rating service whether an answer meets its quality target.
 *
 * <p>The service being away is an ordinary result, an empty one. Used from one event loop.
 */
public final class RatingClient {
  private static final long PATIENCE_MILLIS = 500;
  private static final int OK = 200;

  private final Optional<Settings.Address> address;
  private final WebClient client;
  private final Meters meters;

  private RatingClient(Optional<Settings.Address> address, WebClient client, Meters meters) {
    this.address = address;
    this.client = client;
    this.meters = meters;
  }

  /** Returns a client of the service at {@code address}, or of none. */
  public static RatingClient create(
      Vertx vertx, Optional<Settings.Address> address, Meters meters) {
    return new RatingClient(address, WebClient.create(vertx), meters);
  }

  /**
   * An answer to be rated.
   *
   * @param requestId the request
   * @param workspace the workspace
   * @param task the caller's task name
   * @param version the version that answered
   * @param text the answer
   */
  public record Answer(
      String requestId, String workspace, String task, String version, String text) {}

  /** Returns whether the answer meets the target, empty if the service does not say. */
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
                    .timeout(PATIENCE_MILLIS)
                    .sendJsonObject(body))
        .map(RatingClient::read)
        .onFailure()
        .recoverWithItem(Optional.empty())
        .invoke(
            met -> {
              if (met.isEmpty()) {
                meters.count("rating.missing");
              }
            });
  }

  private static Optional<Boolean> read(HttpResponse<Buffer> response) {
    if (response.statusCode() != OK) {
      return Optional.empty();
    }
    return Optional.ofNullable(response.bodyAsJsonObject().getBoolean("met"));
  }
}
