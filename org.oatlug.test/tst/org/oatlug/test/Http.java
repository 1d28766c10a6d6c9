// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.oatlug.internal.util.Json;

/**
 * HTTP client for tests. Its timeout uses the monotonic clock, so that a suspension of the host
 * does not abort requests. Thread-safe.
 */
public final class Http {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private Http() {}

  /** An HTTP response with its status and body. */
  public record Response(int status, String body, HttpResponse<String> response) {
    public JsonNode json() {
      try {
        return Json.STRICT.readTree(body);
      } catch (IOException e) {
        throw new IllegalStateException(body, e);
      }
    }

    public String header(String name) {
      return response.headers().firstValue(name).orElse("");
    }

    public String reason() {
      return json().path("reason").asText();
    }

    public String notRun() {
      return json().path("notRun").asText();
    }
  }

  public static HttpRequest.Builder to(int port, String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
  }

  public static Response get(int port, String path) throws IOException {
    return send(to(port, path).GET());
  }

  public static Response put(int port, String path, String body) throws IOException {
    return send(to(port, path).PUT(HttpRequest.BodyPublishers.ofString(body)));
  }

  public static Response send(HttpRequest.Builder request) throws IOException {
    try {
      return sendAsync(request).get();
    } catch (ExecutionException e) {
      throw new IOException(e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  public static CompletableFuture<Response> sendAsync(HttpRequest.Builder request) {
    return CLIENT
        .sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
        .thenApply(response -> new Response(response.statusCode(), response.body(), response))
        .orTimeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }
}
