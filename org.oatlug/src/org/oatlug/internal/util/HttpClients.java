// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import io.netty.channel.ChannelPipeline;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.impl.ConnectionBase;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;

/**
 * Creates the HTTP clients of an instance, whichever system they call.
 *
 * <p>Invariants: a response that they report has a final status, 200 to 599; one that ends with its
 * connection is reported as complete only if its request was written to its end. Stateless,
 * thread-safe.
 */
public final class HttpClients {
  /** The name under which the library installs its own handler of responses. */
  private static final String LIBRARY_HANDLER = "handler";

  private HttpClients() {}

  /** Returns a client with these options. */
  public static HttpClient create(Vertx vertx, HttpClientOptions options, PoolOptions pool) {
    return vertx
        .httpClientBuilder()
        .with(options)
        .with(pool)
        .withConnectHandler(HttpClients::checkResponses)
        .build();
  }

  /** Returns a client for whole responses with these options. */
  public static WebClient createWebClient(Vertx vertx, WebClientOptions options, PoolOptions pool) {
    return WebClient.wrap(create(vertx, options, pool), options);
  }

  /** Returns a client for whole responses with the default options. */
  public static WebClient createWebClient(Vertx vertx) {
    return createWebClient(vertx, new WebClientOptions(), new PoolOptions());
  }

  private static void checkResponses(HttpConnection connection) {
    ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
    pipeline.addBefore(LIBRARY_HANDLER, "response-heads", new ResponseHeadCheck());
    pipeline.addBefore(LIBRARY_HANDLER, "response-ends", new ResponseEndCheck());
  }
}
