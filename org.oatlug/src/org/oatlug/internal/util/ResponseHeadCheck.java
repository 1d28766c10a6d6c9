// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.ProtocolException;

/**
 * Fails responses whose status is none, and skips interim responses (RFC 9110, section 15).
 *
 * <p>A status outside of 100 to 599, and 101 as no upgrade was requested, is treated like bytes
 * that are no response: the connection fails. An interim response that the library does not know is
 * skipped, up to a maximum, and the final one follows. One for each connection; used from its event
 * loop.
 */
final class ResponseHeadCheck extends ChannelInboundHandlerAdapter {
  /** The maximum number of interim responses on a connection. */
  private static final int MAXIMUM_INTERIM_RESPONSES = 16;

  private static final int LOWEST_FINAL_STATUS = 200;
  private static final int HIGHEST_STATUS = 599;

  private int interimResponses;
  private boolean skipping;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse response) {
      skipping = isToSkip(response);
    }
    if (!skipping) {
      context.fireChannelRead(message);
      return;
    }
    if (message instanceof LastHttpContent) {
      skipping = false;
    }
    if (message instanceof HttpContent) {
      ReferenceCountUtil.release(message);
    }
  }

  /** Returns whether the response is interim and to be skipped; marks an invalid one as failed. */
  private boolean isToSkip(HttpResponse response) {
    int status = response.status().code();
    if (status >= LOWEST_FINAL_STATUS && status <= HIGHEST_STATUS) {
      return false;
    }
    boolean interim =
        status >= HttpResponseStatus.CONTINUE.code()
            && status < LOWEST_FINAL_STATUS
            && status != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
    interimResponses++;
    if (interim && interimResponses <= MAXIMUM_INTERIM_RESPONSES) {
      return true;
    }
    String problem = interim ? "too many interim responses" : "invalid status " + status;
    response.setDecoderResult(DecoderResult.failure(new ProtocolException(problem)));
    return false;
  }
}
