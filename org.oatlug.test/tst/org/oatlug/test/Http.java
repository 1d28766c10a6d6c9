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
    /** Returns the body, parsed as JSON. */
    public JsonNode json() {
      try {
        return Json.STRICT.readTree(body);
      } catch (IOException e) {
        throw new IllegalStateException(body, e);
      }
    }

    /** Returns the value of a header, empty if it is missing. */
    public String header(String name) {
      return response.headers().firstValue(name).orElse("");
    }

    /** Returns the reason of a refusal. */
    public String reason() {
      return json().path("reason").asText();
    }

    /** Returns what a refusal says about whether the request ran. */
    public String notRun() {
      return json().path("notRun").asText();
    }
  }

  /** Returns a request to a port of this host. */
  public static HttpRequest.Builder to(int port, String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
  }

  /** Sends a GET request. */
  public static Response get(int port, String path) throws IOException {
    return send(to(port, path).GET());
  }

  /** Sends a PUT request. */
  public static Response put(int port, String path, String body) throws IOException {
    return send(to(port, path).PUT(HttpRequest.BodyPublishers.ofString(body)));
  }

  /** Sends a request and waits for the response. */
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

  /** Sends a request. */
  public static CompletableFuture<Response> sendAsync(HttpRequest.Builder request) {
    return CLIENT
        .sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
        .thenApply(response -> new Response(response.statusCode(), response.body(), response))
        .orTimeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }
}
