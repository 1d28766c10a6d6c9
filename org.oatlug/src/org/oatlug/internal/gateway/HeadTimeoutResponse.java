// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Answers a request whose head was not complete in time.
 *
 * <p>The HTTP library exposes a request only once its head is complete, so this answer is written
 * directly to the connection. Stateless; used from the event loop of the connection.
 */
final class HeadTimeoutResponse {
  private HeadTimeoutResponse() {}

  /** Sends status 408 and closes the connection. */
  static void send(HttpConnection connection) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.REQUEST_TIMEOUT);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    Channel channel = ((ConnectionBase) connection).channel();
    channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }
}
