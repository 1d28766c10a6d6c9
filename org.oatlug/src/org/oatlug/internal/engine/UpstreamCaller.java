// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.oatlug.config.Upstream;
import org.oatlug.errors.UpstreamFailedException;
import org.oatlug.errors.UpstreamFailedException.Progress;
import org.oatlug.internal.limit.RetryAfter;
import org.oatlug.internal.util.HttpClients;

/**
 * Sends one attempt to an upstream over HTTP.
 *
 * <p>Invariant: a failure carries the progress of the attempt. A request that must not be repeated
 * uses a connection of its own, because the upstream may have closed a pooled connection, which
 * cannot be distinguished from a failure after the request ran. Used from one event loop.
 */
public final class UpstreamCaller {
  private static final int CONNECT_MILLIS = 1000;
  private static final int POOL_SIZE = 512;
  private static final int OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final String RETRY_AFTER = "Retry-After";
  private static final int UNAVAILABLE = 503;
  private static final int FIRST_SERVER_ERROR = 500;

  private final Vertx vertx;
  private final HttpClient pooled;
  private final HttpClient unpooled;

  private UpstreamCaller(Vertx vertx, HttpClient pooled, HttpClient unpooled) {
    this.vertx = vertx;
    this.pooled = pooled;
    this.unpooled = unpooled;
  }

  /** Returns a caller with its own connection pool. */
  public static UpstreamCaller create(Vertx vertx) {
    HttpClientOptions pooledOptions = new HttpClientOptions().setConnectTimeout(CONNECT_MILLIS);
    HttpClientOptions unpooledOptions =
        new HttpClientOptions().setConnectTimeout(CONNECT_MILLIS).setKeepAlive(false);
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(POOL_SIZE);
    return new UpstreamCaller(
        vertx,
        HttpClients.create(vertx, pooledOptions, pool),
        HttpClients.create(vertx, unpooledOptions, pool));
  }

  /**
   * A request to an upstream.
   *
   * @param method the HTTP method
   * @param path the path with its query
   * @param headers the request headers
   * @param body the request body
   * @param repeatable whether the request may run more than once
   * @param firstByteTimeout the maximum time until the response begins
   */
  public record Call(
      HttpMethod method,
      String path,
      Map<String, String> headers,
      Buffer body,
      boolean repeatable,
      Duration firstByteTimeout) {}

  /** One attempt that can be cancelled. Used from one event loop. */
  public static final class Attempt {
    private final BooleanSupplier isValid;
    private HttpClientRequest request;
    private boolean cancelled;

    private Attempt(BooleanSupplier isValid) {
      this.isValid = isValid;
    }

    /**
     * Returns an attempt that is sent only if it is still valid once its connection is open,
     * because the upstream may start to drain, or the version may be withdrawn, while it connects.
     */
    public static Attempt validWhile(BooleanSupplier isValid) {
      return new Attempt(isValid);
    }

    private boolean maySend() {
      return !cancelled && isValid.getAsBoolean();
    }

    /** Cancels the attempt and, if it was sent, resets the request at the upstream. */
    public void cancel() {
      cancelled = true;
      if (request != null) {
        request.reset();
      }
    }
  }

  /**
   * Sends the call.
   *
   * @return the response, paused, or a failure with {@link UpstreamFailedException}
   */
  public Future<HttpClientResponse> send(
      String name, Upstream upstream, Call call, Attempt attempt) {
    RequestOptions options =
        new RequestOptions()
            .setHost(upstream.host())
            .setPort(upstream.port())
            .setMethod(call.method())
            .setURI(call.path());
    HttpClient client = call.repeatable() ? pooled : unpooled;
    return client
        .request(options)
        .recover(failure -> failed(name, Progress.NOT_SENT, failure.getMessage()))
        .compose(request -> sendRequest(name, request, call, attempt))
        .compose(response -> checkStatus(name, call, response));
  }

  private Future<HttpClientResponse> sendRequest(
      String name, HttpClientRequest request, Call call, Attempt attempt) {
    if (!attempt.maySend()) {
      request.reset();
      return failed(name, Progress.NOT_SENT, "withheld");
    }
    attempt.request = request;
    call.headers().forEach(request::putHeader);
    Promise<HttpClientResponse> promise = Promise.promise();
    long timer =
        vertx.setTimer(
            call.firstByteTimeout().toMillis(),
            unused -> {
              if (promise.tryFail(new IllegalStateException("no answer in time"))) {
                request.reset();
              }
            });
    request
        .send(call.body())
        .onComplete(
            response -> {
              response.pause();
              promise.tryComplete(response);
            },
            promise::tryFail);
    return promise
        .future()
        .onComplete(unused -> vertx.cancelTimer(timer))
        .recover(failure -> failed(name, Progress.SENT, failure.getMessage()));
  }

  private static Future<HttpClientResponse> checkStatus(
      String name, Call call, HttpClientResponse response) {
    int status = response.statusCode();
    if (status == UNAVAILABLE || status == TOO_MANY_REQUESTS) {
      response.resume();
      Optional<Duration> retryAfter =
          Optional.ofNullable(response.getHeader(RETRY_AFTER)).map(RetryAfter::of);
      return Future.failedFuture(
          UpstreamFailedException.refused(name, "status " + status, retryAfter));
    }
    if (status >= FIRST_SERVER_ERROR && call.repeatable()) {
      response.resume();
      return failed(name, Progress.SENT, "status " + status);
    }
    return Future.succeededFuture(response);
  }

  /** Returns whether the response is successful. */
  public static boolean isSuccessful(HttpClientResponse response) {
    return response.statusCode() == OK;
  }

  private static <T> Future<T> failed(String name, Progress progress, String problem) {
    return Future.failedFuture(new UpstreamFailedException(name, progress, problem));
  }
}
