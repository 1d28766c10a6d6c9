// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.WebClient;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Optional;
import org.oatlug.config.Settings;
import org.oatlug.errors.OatlugException;
import org.oatlug.errors.PlatformUnavailableException;
import org.oatlug.errors.UsageException;
import org.oatlug.internal.platform.HttpPlatform;
import org.oatlug.internal.util.Json;
import org.oatlug.internal.util.Unis;
import org.oatlug.platform.Platform;

/** Connections and output of a single call of the command line. Used from one thread. */
final class CommandSession implements AutoCloseable {
  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(20);
  private static final long REQUEST_TIMEOUT_MILLIS = 5000;

  private Optional<Vertx> vertx = Optional.empty();
  private final Optional<Settings.Address> platform;
  private final Optional<Settings.Address> instance;
  private final boolean json;
  private final PrintStream out;

  private CommandSession(
      Optional<Settings.Address> platform,
      Optional<Settings.Address> instance,
      boolean json,
      PrintStream out) {
    this.platform = platform;
    this.instance = instance;
    this.json = json;
    this.out = out;
  }

  static CommandSession open(
      Optional<Settings.Address> platform,
      Optional<Settings.Address> instance,
      boolean json,
      PrintStream out) {
    return new CommandSession(platform, instance, json, out);
  }

  /** Returns the runtime, which starts on first use because offline commands do not need it. */
  private Vertx vertx() {
    if (vertx.isEmpty()) {
      FileSystemOptions files =
          new FileSystemOptions().setClassPathResolvingEnabled(false).setFileCachingEnabled(false);
      VertxOptions options = new VertxOptions().setEventLoopPoolSize(1);
      vertx = Optional.of(Vertx.vertx(options.setFileSystemOptions(files)));
    }
    return vertx.get();
  }

  /**
   * Returns the platform that is given by {@code --platform} or {@code OATLUG_PLATFORM}.
   *
   * @throws UsageException if neither is given
   */
  Platform platform() throws UsageException {
    Settings.Address address =
        platform.orElseThrow(() -> new UsageException("--platform HOST:PORT is missing"));
    return HttpPlatform.create(vertx(), address);
  }

  /**
   * Sends a GET to the instance that is given by {@code --instance} or {@code OATLUG_INSTANCE} and
   * returns the response.
   *
   * @param parameters the names of the query parameters, each followed by its value
   */
  JsonNode getFromInstance(String path, String... parameters) throws OatlugException {
    return sendToInstance(HttpMethod.GET, path, parameters);
  }

  /** Sends a PUT, as {@link #getFromInstance} sends a GET. */
  JsonNode putToInstance(String path, String... parameters) throws OatlugException {
    return sendToInstance(HttpMethod.PUT, path, parameters);
  }

  private JsonNode sendToInstance(HttpMethod method, String path, String... parameters)
      throws OatlugException {
    Settings.Address address =
        instance.orElseThrow(() -> new UsageException("--instance HOST:PORT is missing"));
    HttpRequest<io.vertx.core.buffer.Buffer> request =
        WebClient.create(vertx())
            .request(method, address.port(), address.host(), path)
            .timeout(REQUEST_TIMEOUT_MILLIS);
    for (int index = 0; index < parameters.length; index += 2) {
      request.addQueryParam(parameters[index], parameters[index + 1]);
    }
    String body =
        await(
            Unis.fromFuture(request::send)
                .map(io.vertx.ext.web.client.HttpResponse::bodyAsString)
                .onFailure()
                .transform(e -> new PlatformUnavailableException(address + path, e)));
    try {
      return Json.STRICT.readTree(body);
    } catch (IOException e) {
      throw new PlatformUnavailableException(address + path, e);
    }
  }

  /**
   * Blocks until the item is available.
   *
   * @throws OatlugException if the operation fails or does not complete within the timeout
   */
  <T> T await(Uni<T> uni) throws OatlugException {
    try {
      return uni.await().atMost(AWAIT_TIMEOUT);
    } catch (RuntimeException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      if (cause instanceof OatlugException known) {
        throw known;
      }
      throw new PlatformUnavailableException("in time", e);
    }
  }

  boolean isJson() {
    return json;
  }

  /** Prints a line. */
  void print(String line) {
    out.println(line);
  }

  /** Prints the value as JSON if {@code --output json} was given, else the table. */
  void print(JsonNode value, TextTable table) {
    out.println(json ? value.toPrettyString() : table.toString());
  }

  @Override
  public void close() {
    vertx.ifPresent(Vertx::close);
  }
}
