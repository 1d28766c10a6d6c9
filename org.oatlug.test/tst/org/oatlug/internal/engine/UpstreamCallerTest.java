// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.oatlug.config.Upstream;
import org.oatlug.errors.UpstreamFailedException;
import org.oatlug.test.Ports;
import org.testng.annotations.Test;

/**
 * Tests calls whose route becomes invalid while they connect, and refusals.
 *
 * <p>Guards against a check of the route only before connecting: the request then reaches an
 * upstream that began to leave, or a version that was withdrawn, in between.
 */
public class UpstreamCallerTest {

  @Test
  public void testCallIsNotSentAfterItsRouteBecameInvalid() throws IOException {
    Vertx vertx = Vertx.vertx();
    AtomicInteger requests = new AtomicInteger();
    int port = Ports.free();
    vertx
        .createHttpServer()
        .requestHandler(
            request -> {
              requests.incrementAndGet();
              request.response().end();
            })
        .listen(port, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .join();
    Throwable failure = failureOf(send(vertx, port, () -> false));
    assertTrue(failure instanceof UpstreamFailedException, String.valueOf(failure));
    assertEquals(
        ((UpstreamFailedException) failure).progress(), UpstreamFailedException.Progress.NOT_SENT);
    assertEquals(requests.get(), 0);
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** The header {@code Retry-After} of a refusal must not be ignored. */
  @Test
  public void testRefusalCarriesRetryAfter() throws IOException {
    Vertx vertx = Vertx.vertx();
    int port = Ports.free();
    vertx
        .createHttpServer()
        .requestHandler(
            request -> request.response().setStatusCode(503).putHeader("Retry-After", "2.5").end())
        .listen(port, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .join();
    Throwable failure = failureOf(send(vertx, port, () -> true));
    UpstreamFailedException refused = (UpstreamFailedException) failure;
    assertEquals(refused.progress(), UpstreamFailedException.Progress.REFUSED);
    assertEquals(refused.retryAfter(), Optional.of(Duration.ofMillis(2500)));
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private static Future<HttpClientResponse> send(Vertx vertx, int port, BooleanSupplier isValid) {
    Upstream upstream =
        new Upstream(
            Upstream.Kind.ENGINE, "127.0.0.1", port, "hall-a", List.of("v1"), 1, false, false);
    UpstreamCaller.Call call =
        new UpstreamCaller.Call(
            HttpMethod.POST, "/", Map.of(), Buffer.buffer("a"), true, Duration.ofSeconds(5));
    UpstreamCaller.Attempt attempt = UpstreamCaller.Attempt.validWhile(isValid);
    return UpstreamCaller.create(vertx).send("engine", upstream, call, attempt);
  }

  private static Throwable failureOf(Future<?> answer) {
    try {
      answer.toCompletionStage().toCompletableFuture().join();
      throw new AssertionError("the call succeeded");
    } catch (CompletionException e) {
      return e.getCause();
    }
  }
}
