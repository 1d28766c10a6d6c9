// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.ProtocolException;

/**
 * Fails responses that end with their connection while their request is still being written.
 *
 * <p>A server that closes a connection without reading the request resets it, but the end of the
 * stream may be seen first, and looks like the end of a response without a length. A failed write
 * closes the connection as well. Responses with a length, with chunks or without a body prove their
 * end by themselves. Invariant: after a failure of the connection no response is reported as
 * complete. One for each connection; used from its event loop.
 */
final class ResponseEndCheck extends ChannelDuplexHandler {
  private boolean requestWritten;
  private boolean endsWithConnection;
  private boolean failed;

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
      throws Exception {
    if (message instanceof HttpRequest) {
      requestWritten = false;
      endsWithConnection = false;
    }
    ChannelPromise written = promise;
    if (message instanceof LastHttpContent) {
      written = promise.unvoid();
      written.addListener(result -> requestWritten = result.isSuccess());
    }
    super.write(context, message, written);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse response) {
      endsWithConnection =
          mayHaveBody(response.status())
              && !HttpUtil.isContentLengthSet(response)
              && !HttpUtil.isTransferEncodingChunked(response);
    }
    boolean ends = endsWithConnection && message instanceof LastHttpContent;
    if (!ends || requestWritten && !failed) {
      context.fireChannelRead(message);
      return;
    }
    ReferenceCountUtil.release(message);
    if (!failed) {
      failed = true;
      context.fireExceptionCaught(
          new ProtocolException("the response ended before the request was written"));
    }
  }

  private static boolean mayHaveBody(HttpResponseStatus status) {
    return !status.equals(HttpResponseStatus.NO_CONTENT)
        && !status.equals(HttpResponseStatus.NOT_MODIFIED);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
    failed = true;
    super.exceptionCaught(context, cause);
  }
}
