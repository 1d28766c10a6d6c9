// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.platform;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.PoolOptions;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Function;
import org.oatlug.internal.util.HttpClients;

/**
 * Pool of connections to a store, which is replaced as a whole once a connection stops responding:
 * the network may drop all open connections without a reset while new connections work.
 *
 * <p>Invariants: a call that starts after the replacement uses a connection that was opened after
 * it; a timed-out call does not replace a pool that never delivered a response, as in an outage of
 * the store. Used from one event loop.
 */
public final class StoreConnections {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The time for which calls on replaced connections may still complete. */
  private static final long CLOSE_DELAY_MILLIS = 5000;

  private final Vertx vertx;
  private final WebClientOptions options;
  private final PoolOptions poolOptions;
  private Pool current;

  private StoreConnections(Vertx vertx, WebClientOptions options, PoolOptions poolOptions) {
    this.vertx = vertx;
    this.options = options;
    this.poolOptions = poolOptions;
    this.current = openPool();
  }

  private static final class Pool {
    private final WebClient client;
    private boolean responded;

    Pool(WebClient client) {
      this.client = client;
    }
  }

  /** Returns a pool that opens its connections on first use. */
  public static StoreConnections create(
      Vertx vertx, WebClientOptions options, PoolOptions poolOptions) {
    return new StoreConnections(vertx, options, poolOptions);
  }

  private Pool openPool() {
    return new Pool(HttpClients.createWebClient(vertx, options, poolOptions));
  }

  /**
   * Sends a GET call, see {@link #send}.
   *
   * @param query adds the query parameters
   */
  public Future<HttpResponse<Buffer>> get(
      String path, long timeoutMillis, Consumer<HttpRequest<Buffer>> query) {
    return send(
        client -> {
          HttpRequest<Buffer> request = client.get(path).timeout(timeoutMillis);
          query.accept(request);
          return request.send();
        });
  }

  /** Sends a call on a connection of the current pool; replaces the pool if the call times out. */
  public Future<HttpResponse<Buffer>> send(Function<WebClient, Future<HttpResponse<Buffer>>> call) {
    Pool pool = current;
    return call.apply(pool.client)
        .onSuccess(unused -> pool.responded = true)
        .onFailure(failure -> handleFailure(pool, failure));
  }

  private void handleFailure(Pool pool, Throwable failure) {
    if (failure instanceof TimeoutException && pool == current && pool.responded) {
      renew();
    }
  }

  /** Replaces the connections; calls in progress complete on the replaced ones. */
  public void renew() {
    WebClient replaced = current.client;
    current = openPool();
    logger.atInfo().log("the connections to the store are replaced, one of them is silent");
    vertx.setTimer(CLOSE_DELAY_MILLIS, unused -> replaced.close());
  }
}
