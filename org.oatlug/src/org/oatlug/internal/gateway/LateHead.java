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
 * Refuses a request whose head did not become whole in time.
 *
 * <p>The HTTP library shows a request only once its head is whole, so this answer is written to the
 * connection itself. Stateless; used from the event loop of the connection.
 */
final class LateHead {
  private LateHead() {}

  /** Says that the request took too long, and closes the connection behind that. */
  static void refuse(HttpConnection connection) {
    FullHttpResponse answer =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.REQUEST_TIMEOUT);
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    Channel channel = ((ConnectionBase) connection).channel();
    channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
  }
}
