// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
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

/** Sends calls to a platform's store over HTTP and parses their JSON responses. Stateless. */
public final class PlatformCalls {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int FIRST_UNSUCCESSFUL = 300;

  /** Limits above the depth and number length that the platform's own writers use. */
  private static final JsonLimiter LIMITER = new JsonLimiter(10_000, 20_000);

  private static final StreamReadConstraints LENIENT_LIMITS =
      StreamReadConstraints.builder()
          .maxNestingDepth(LIMITER.maximumDepth())
          .maxNumberLength(LIMITER.maximumNumberLength())
          .build();

  private static final JsonFactory LENIENT_FACTORY =
      JsonFactory.builder()
          .streamReadConstraints(LENIENT_LIMITS)
          .enable(JsonReadFeature.ALLOW_UNESCAPED_CONTROL_CHARS)
          .build();

  private PlatformCalls() {}

  /**
   * Sends a call.
   *
   * <p>Fails with {@link PlatformBusyException} when the rate limit of the store is exceeded, and
   * with {@link PlatformUnavailableException} when there is no response, its body is not whole or
   * its status is not accepted.
   *
   * @param operation the operation, for error messages
   * @param acceptedStatuses the HTTP statuses that do not fail the call
   */
  public static Uni<HttpResponse<Buffer>> call(
      String operation,
      Set<Integer> acceptedStatuses,
      Supplier<Future<HttpResponse<Buffer>>> send) {
    return Unis.fromFuture(send)
        .onFailure()
        .transform(failure -> new PlatformUnavailableException(operation, failure))
        .onItem()
        .transformToUni(response -> checkStatus(operation, acceptedStatuses, response));
  }

  private static Uni<HttpResponse<Buffer>> checkStatus(
      String operation, Set<Integer> acceptedStatuses, HttpResponse<Buffer> response) {
    int status = response.statusCode();
    if (!isWhole(response)) {
      Exception cause = new IOException("the body differs from its length");
      return Uni.createFrom().failure(new PlatformUnavailableException(operation, cause));
    }
    if (acceptedStatuses.contains(status)) {
      return Uni.createFrom().item(response);
    }
    if (status == TOO_MANY_REQUESTS) {
      return Uni.createFrom().failure(new PlatformBusyException(operation));
    }
    Exception cause = new IOException("status " + status);
    return Uni.createFrom().failure(new PlatformUnavailableException(operation, cause));
  }

  /**
   * Returns whether the body has the length that the platform declared. An error while it was
   * received may have dropped a part, and what is left may be valid JSON.
   */
  private static boolean isWhole(HttpResponse<Buffer> response) {
    String declared = response.getHeader("Content-Length");
    int length = response.body() == null ? 0 : response.body().length();
    return declared == null || declared.trim().equals(Integer.toString(length));
  }

  /**
   * Returns the JSON of a response, an empty object if it has no body.
   *
   * <p>Fails with {@link PlatformUnavailableException} if the body of a successful response is not
   * valid JSON: an empty object in its place would be a list without objects. The body of a refusal
   * may have any form; an empty object stands for one that is not valid JSON.
   *
   * @param operation the operation, for error messages
   */
  public static Uni<JsonNode> parseBody(String operation, HttpResponse<Buffer> response) {
    Buffer body = response.body();
    if (body == null || body.length() == 0) {
      return Uni.createFrom().item(Json.STRICT.createObjectNode());
    }
    try {
      return Uni.createFrom().item(parse(body));
    } catch (IOException e) {
      logger.atWarning().log(
          "the response to %s is not valid JSON, status=%d: %s",
          operation, response.statusCode(), e.getMessage());
      return response.statusCode() < FIRST_UNSUCCESSFUL
          ? Uni.createFrom().failure(new PlatformUnavailableException(operation, e))
          : Uni.createFrom().item(Json.STRICT.createObjectNode());
    }
  }

  /**
   * Parses the JSON of a response leniently, so that invalid content of one object does not affect
   * the other objects of the response: malformed UTF-8 becomes replacement characters; control
   * characters, deep nesting and long numbers are accepted, and values beyond the limits of depth
   * and length become null.
   */
  static JsonNode parse(Buffer body) throws IOException {
    String text = body.toString(StandardCharsets.UTF_8);
    try {
      return parse(text);
    } catch (StreamConstraintsException e) {
      logger.atWarning().log("a response of the platform is limited: %s", e.getOriginalMessage());
      return parse(LIMITER.limit(text));
    }
  }

  private static JsonNode parse(String text) throws IOException {
    try (JsonParser parser = LENIENT_FACTORY.createParser(text)) {
      JsonNode parsed = Json.STRICT.readTree(parser);
      return parsed == null ? MissingNode.getInstance() : parsed;
    }
  }
}
