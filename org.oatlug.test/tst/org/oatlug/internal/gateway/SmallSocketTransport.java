// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.net.ClientOptionsBase;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.transport.Transport;

/** A transport whose sockets buffer little, so that unread data stays in this process. */
final class SmallSocketTransport extends NioTransport implements Transport {
  private static final int SEND_BUFFER_BYTES = 8 * 1024;
  private static final int RECEIVE_BUFFER_BYTES = 8 * 1024;

  @Override
  public String name() {
    return "small sockets";
  }

  @Override
  public boolean available() {
    return true;
  }

  @Override
  public Throwable unavailabilityCause() {
    return null;
  }

  @Override
  public io.vertx.core.spi.transport.Transport implementation() {
    return this;
  }

  @Override
  public void configure(NetServerOptions options, boolean domainSocket, ServerBootstrap bootstrap) {
    super.configure(options, domainSocket, bootstrap);
    bootstrap.childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES);
  }

  @Override
  public void configure(
      ClientOptionsBase options, int connectTimeout, boolean domainSocket, Bootstrap bootstrap) {
    super.configure(options, connectTimeout, domainSocket, bootstrap);
    bootstrap.option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
  }
}
