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
 * A request decoder that keeps conflicting framing headers.
 *
 * <p>For a request with both {@code Content-Length} and {@code Transfer-Encoding: chunked}, the
 * library's decoder drops the length and reads the chunks. The bytes after them may then be taken
 * for another request that the caller never sent (request smuggling). This decoder keeps both
 * headers, so that the request is refused. Used from one event loop.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {
  private static final String DECODER_NAME = "strict-decoder";
  private static final String BYTES_LISTENER_NAME = "head-bytes";

  private StrictRequestDecoder(HttpServerOptions options) {
    super(options);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    // Keeps both headers; the request is refused when its head is read.
  }

  /**
   * Replaces the library's decoder on a connection.
   *
   * @param onBytes called each time that bytes arrive
   */
  static void install(HttpConnection connection, HttpServerOptions options, Runnable onBytes) {
    ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
    VertxHttpRequestDecoder libraryDecoder = pipeline.get(VertxHttpRequestDecoder.class);
    pipeline.replace(libraryDecoder, DECODER_NAME, new StrictRequestDecoder(options));
    pipeline.addFirst(
        BYTES_LISTENER_NAME,
        new ChannelInboundHandlerAdapter() {
          @Override
          public void channelRead(ChannelHandlerContext context, Object message) {
            onBytes.run();
            context.fireChannelRead(message);
          }
        });
  }
}
