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
import java.time.Duration;
import org.oatlug.errors.UpstreamFailedException.Progress;
import org.oatlug.internal.util.HttpClients;

/**
 * Sends a request to one upstream over a connection of its own.
 *
 * <p>A connection serves one request and is then closed. A duplicate or late answer can therefore
 * not be taken for the answer to another request, and a request that is not repeatable is never
 * written to a connection that the upstream is closing. Invariants: the listener gets {@code
 * headReceived} at most once, then data, and then exactly one of {@code completed} and {@code
 * failed}, or only {@code notConnected}; an error of the listener replaces what would follow by
 * {@code handlerFailed}; no calls after {@link #cancel}. Used from one event loop.
 */
final class UpstreamConnection {
  /** The connect timeout: many round trips between availability zones. */
  static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /**
   * The part of a request that may be written although its upstream has not received it. An
   * upstream that closes the connection after such a write looks like one that read the request.
   */
  private static final int SEND_BUFFER_BYTES = 64 * 1024;

  /** The pool limit for one upstream, above what any upstream accepts. */
  private static final int MAXIMUM_CONNECTIONS_PER_UPSTREAM = 2048;

  private final Listener listener;
  private HttpClientRequest request;
  private HttpClientResponse response;
  private boolean finished;

  private UpstreamConnection(Listener listener) {
    this.listener = listener;
  }

  /** Receives the events of an attempt. */
  interface Listener {
    /**
     * Returns whether the request may still be written, called once the connection is open. If it
     * returns false, the attempt is over and the listener is not called again.
     */
    boolean maySend();

    /** Called when the head of the answer was received; data follows. */
    void headReceived(HttpClientResponse response);

    /** Called when a part of the body was received. */
    void dataReceived(Buffer data);

    /** Called when the whole answer was received. */
    void completed();

    /**
     * Called when no connection could be opened.
     *
     * @param failure the cause, which tells a timeout from a refused connection
     */
    void notConnected(Throwable failure);

    /** Called when the attempt failed after its connection was open. */
    void failed(Progress progress, String problem);

    /** Called when another call of this listener has thrown an error; the attempt is over. */
    void handlerFailed(Throwable error);
  }

  /**
   * A request to an upstream.
   *
   * @param address the address of the upstream
   * @param method the HTTP method
   * @param uri path and query
   * @param headers the headers, without connection headers
   * @param body the body, empty for none
   * @param hasBody whether the request has a body, which may be empty
   */
  record OutgoingRequest(
      SocketAddress address,
      HttpMethod method,
      String uri,
      MultiMap headers,
      Body body,
      boolean hasBody) {}

  /** Returns a client that opens a new connection for each request. */
  static HttpClient newClient(Vertx vertx) {
    HttpClientOptions options =
        new HttpClientOptions()
            .setKeepAlive(false)
            .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
            .setDecompressionSupported(false)
            .setTcpNoDelay(true)
            .setSendBufferSize(SEND_BUFFER_BYTES);
    return HttpClients.create(
        vertx, options, new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS_PER_UPSTREAM));
  }

  /** Opens a connection and sends the request over it. */
  static UpstreamConnection start(HttpClient client, OutgoingRequest outgoing, Listener listener) {
    UpstreamConnection attempt = new UpstreamConnection(listener);
    RequestOptions options =
        new RequestOptions()
            .setServer(outgoing.address())
            .setHost(outgoing.address().host())
            .setPort(outgoing.address().port())
            .setMethod(outgoing.method())
            .setURI(outgoing.uri());
    client
        .request(options)
        .onComplete(
            request -> attempt.run(() -> attempt.connected(request, outgoing)),
            failure -> attempt.run(() -> attempt.connectFailed(failure)));
    return attempt;
  }

  /** Runs a handler; an error cancels the attempt, because its events would be incomplete. */
  private void run(Runnable handler) {
    try {
      handler.run();
    } catch (RuntimeException | Error e) {
      finished = true;
      listener.handlerFailed(e);
      if (request != null) {
        request.reset();
      }
    }
  }

  private void connected(HttpClientRequest opened, OutgoingRequest outgoing) {
    request = opened;
    if (finished) {
      opened.reset();
      return;
    }
    opened.exceptionHandler(failure -> run(() -> fail(Progress.SENT, describe(failure))));
    if (!listener.maySend()) {
      cancel();
      return;
    }
    opened.headers().addAll(outgoing.headers());
    opened
        .response()
        .onComplete(
            received -> run(() -> responseReceived(received)),
            failure -> run(() -> fail(Progress.SENT, describe(failure))));
    if (outgoing.hasBody()) {
      outgoing.body().sendWith(opened, () -> finished);
    } else {
      opened.end();
    }
  }

  private void responseReceived(HttpClientResponse received) {
    if (finished) {
      return;
    }
    response = received;
    received.exceptionHandler(failure -> run(() -> fail(Progress.ANSWERING, describe(failure))));
    received.handler(data -> run(() -> partReceived(data)));
    received.endHandler(unused -> run(this::endReceived));
    listener.headReceived(received);
  }

  private void partReceived(Buffer data) {
    if (!finished) {
      listener.dataReceived(data);
    }
  }

  private void endReceived() {
    if (!finished) {
      finished = true;
      listener.completed();
    }
  }

  /** Stops reading the answer until {@link #resume}. */
  void pause() {
    if (response != null && !finished) {
      response.pause();
    }
  }

  /** Continues reading the answer. */
  void resume() {
    if (response != null && !finished) {
      response.resume();
    }
  }

  /** Cancels the attempt by closing its connection, so that the upstream stops processing. */
  void cancel() {
    if (finished) {
      return;
    }
    finished = true;
    if (request != null) {
      request.reset();
    }
  }

  private void connectFailed(Throwable failure) {
    if (!finished) {
      finished = true;
      listener.notConnected(failure);
    }
  }

  private void fail(Progress progress, String problem) {
    if (finished) {
      return;
    }
    cancel();
    listener.failed(progress, problem);
  }

  /** Returns the class and message of a failure, for log lines. */
  static String describe(Throwable failure) {
    String message = failure.getMessage();
    return failure.getClass().getSimpleName() + (message == null ? "" : ": " + message);
  }
}
