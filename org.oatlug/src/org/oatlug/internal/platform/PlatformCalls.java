// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.client.HttpResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.function.Supplier;
import org.oatlug.errors.PlatformBusyException;
import org.oatlug.errors.PlatformUnavailableException;
import org.oatlug.internal.util.Json;
import org.oatlug.internal.util.Unis;

/** What all calls of a platform's store over HTTP and JSON have in common. Stateless. */
public final class PlatformCalls {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int TOO_MANY = 429;

  /** Deeper and longer than anything that the platform's own writers write. */
  private static final StreamReadConstraints WIDE =
      StreamReadConstraints.builder().maxNestingDepth(10_000).maxNumberLength(20_000).build();

  private static final JsonFactory TOLERANT =
      JsonFactory.builder()
          .streamReadConstraints(WIDE)
          .enable(JsonReadFeature.ALLOW_UNESCAPED_CONTROL_CHARS)
          .build();

  private PlatformCalls() {}

  /**
   * Makes a call.
   *
   * <p>Fails with {@link PlatformBusyException} when the store's rate is used up, and with {@link
   * PlatformUnavailableException} when there is no answer or one of another status.
   *
   * @param operation the call, for messages
   * @param answers the statuses that are answers
   */
  public static Uni<HttpResponse<Buffer>> call(
      String operation, Set<Integer> answers, Supplier<Future<HttpResponse<Buffer>>> send) {
    return Unis.fromFuture(send)
        .onFailure()
        .transform(failure -> new PlatformUnavailableException(operation, failure))
        .onItem()
        .transformToUni(response -> checked(operation, answers, response));
  }

  private static Uni<HttpResponse<Buffer>> checked(
      String operation, Set<Integer> answers, HttpResponse<Buffer> response) {
    int status = response.statusCode();
    if (answers.contains(status)) {
      return Uni.createFrom().item(response);
    }
    if (status == TOO_MANY) {
      return Uni.createFrom().failure(new PlatformBusyException(operation));
    }
    Exception cause = new IOException("status " + status);
    return Uni.createFrom().failure(new PlatformUnavailableException(operation, cause));
  }

  /** Returns the JSON of an answer, an empty object if it has none; that is logged. */
  public static JsonNode tree(HttpResponse<Buffer> response) {
    Buffer body = response.body();
    if (body == null) {
      return Json.STRICT.createObjectNode();
    }
    try {
      return parse(body);
    } catch (IOException e) {
      logger.atWarning().log("an answer of the platform is no JSON: %s", e.getMessage());
      return Json.STRICT.createObjectNode();
    }
  }

  /**
   * Reads the JSON of an answer. What another writer put into one object does not spoil the others
   * of the same answer: bytes that are no text become question marks, control characters, deep
   * nesting and long numbers pass.
   */
  static JsonNode parse(Buffer body) throws IOException {
    try (JsonParser parser = TOLERANT.createParser(body.toString(StandardCharsets.UTF_8))) {
      JsonNode read = Json.STRICT.readTree(parser);
      return read == null ? MissingNode.getInstance() : read;
    }
  }
}
