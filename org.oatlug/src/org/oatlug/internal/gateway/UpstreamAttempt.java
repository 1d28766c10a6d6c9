// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import org.oatlug.errors.UpstreamFailedException.Progress;

/**
 * One try of a request at one upstream, over a connection of its own.
 *
 * <p>A connection serves one request and is then closed. An upstream that sends an answer twice, or
 * late, so cannot have it taken for the answer to another request, and a request that may not be
 * repeated never meets a connection that the other side is closing. Invariants: the listener gets
 * {@code head} at most once, then data, and then exactly one of {@code whole} and {@code failed};
 * nothing after {@link #cancel}. Used from one event loop.
 */
final class UpstreamAttempt {
  /** How long a connection may take to open: many round trips between zones. */
  private static final int CONNECT_MILLIS = 400;

  /** More connections to one upstream than any of them accepts. */
  private static final int MAXIMUM_CONNECTIONS = 2048;

  private final Listener listener;
  private HttpClientRequest request;
  private HttpClientResponse response;
  private boolean over;

  private UpstreamAttempt(Listener listener) {
    this.listener = listener;
  }

  /** Is told how an attempt goes. */
  interface Listener {
    /**
     * Returns whether the request may still be written, now that the connection is open. If not,
     * the attempt is over and nothing more is told.
     */
    boolean maySend();

    /** The head of the answer is here; data follows. */
    void head(HttpClientResponse response);

    /** More of the body is here. */
    void data(Buffer data);

    /** The whole answer was received. */
    void whole();

    /** The attempt failed. */
    void failed(Progress progress, String problem);
  }

  /**
   * What is sent.
   *
   * @param address where it is sent
   * @param method the HTTP method
   * @param uri path and query
   * @param headers the headers, without those of the connection
   * @param body the body, empty for none
   * @param hasBody whether the request has a body at all
   */
  record Call(
      SocketAddress address,
      HttpMethod method,
      String uri,
      MultiMap headers,
      Buffer body,
      boolean hasBody) {}

  /** Returns a client that opens a connection for each request. */
  static HttpClient newClient(Vertx vertx) {
    HttpClientOptions options =
        new HttpClientOptions()
            .setKeepAlive(false)
            .setConnectTimeout(CONNECT_MILLIS)
            .setDecompressionSupported(false)
            .setTcpNoDelay(true);
    return vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS));
  }

  /** Starts an attempt. */
  static UpstreamAttempt start(HttpClient client, Call call, Listener listener) {
    UpstreamAttempt attempt = new UpstreamAttempt(listener);
    RequestOptions options =
        new RequestOptions()
            .setServer(call.address())
            .setHost(call.address().host())
            .setPort(call.address().port())
            .setMethod(call.method())
            .setURI(call.uri());
    client
        .request(options)
        .onComplete(
            request -> attempt.connected(request, call),
            failure -> attempt.fail(Progress.NOT_SENT, problemOf(failure)));
    return attempt;
  }

  private void connected(HttpClientRequest opened, Call call) {
    request = opened;
    if (over) {
      opened.reset();
      return;
    }
    opened.exceptionHandler(failure -> fail(Progress.SENT, problemOf(failure)));
    if (!listener.maySend()) {
      cancel();
      return;
    }
    opened.headers().addAll(call.headers());
    opened
        .response()
        .onComplete(this::answered, failure -> fail(Progress.SENT, problemOf(failure)));
    if (call.hasBody()) {
      opened.end(call.body());
    } else {
      opened.end();
    }
  }

  private void answered(HttpClientResponse answer) {
    if (over) {
      return;
    }
    response = answer;
    answer.exceptionHandler(failure -> fail(Progress.ANSWERING, problemOf(failure)));
    answer.handler(
        data -> {
          if (!over) {
            listener.data(data);
          }
        });
    answer.endHandler(
        unused -> {
          if (!over) {
            over = true;
            listener.whole();
          }
        });
    listener.head(answer);
  }

  /** Stops reading the answer until {@link #resume}. */
  void pause() {
    if (response != null && !over) {
      response.pause();
    }
  }

  /** Goes on reading the answer. */
  void resume() {
    if (response != null && !over) {
      response.resume();
    }
  }

  /** Ends the attempt: closes its connection, so that the upstream stops working. */
  void cancel() {
    if (over) {
      return;
    }
    over = true;
    if (request != null) {
      request.reset();
    }
  }

  private void fail(Progress progress, String problem) {
    if (over) {
      return;
    }
    cancel();
    listener.failed(progress, problem);
  }

  private static String problemOf(Throwable failure) {
    String message = failure.getMessage();
    return failure.getClass().getSimpleName() + (message == null ? "" : ": " + message);
  }
}
