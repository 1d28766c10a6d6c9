// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * The library's decoder of requests, but for one leniency.
 *
 * <p>The library drops the length of a request that has both a length and chunks, and reads it by
 * its chunks. What follows them may then be taken for a request of its own that the caller never
 * sent. This one keeps both headers, so that the request is refused. Used from one event loop.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {
  private static final String DECODER = "strict-decoder";
  private static final String HEAD_BYTES = "head-bytes";

  private StrictRequestDecoder(HttpServerOptions options) {
    super(options);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    // Both headers stay; the request is refused when its head is read.
  }

  /**
   * Puts this decoder in the place of the library's.
   *
   * @param onBytes is told each time that bytes arrive
   */
  static void install(HttpConnection connection, HttpServerOptions options, Runnable onBytes) {
    ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
    VertxHttpRequestDecoder replaced = pipeline.get(VertxHttpRequestDecoder.class);
    pipeline.replace(replaced, DECODER, new StrictRequestDecoder(options));
    pipeline.addFirst(
        HEAD_BYTES,
        new ChannelInboundHandlerAdapter() {
          @Override
          public void channelRead(ChannelHandlerContext context, Object message) {
            onBytes.run();
            context.fireChannelRead(message);
          }
        });
  }
}
