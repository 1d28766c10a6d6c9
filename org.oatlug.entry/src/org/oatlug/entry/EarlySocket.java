// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.Optional;
import org.oatlug.gateway.GatewaySettings.Endpoint;

/**
 * The socket that callers connect to, opened before all else at a start.
 *
 * <p>Loading the libraries takes several times as long as reading one field of the settings. A
 * caller that connects meanwhile waits in the socket's queue and is served; without the socket it
 * is turned away by the system and gives up after a few tries.
 *
 * <p>Invariant: the first server that is started over {@link #transport} gets the socket and has to
 * be the callers' one. Used from the main thread, then by the transport.
 */
final class EarlySocket {
  /** The field of the settings that says where callers connect. */
  private static final String CALLERS = "callers";

  /** Callers that may wait to be accepted: those of some seconds at the busiest instance. */
  private static final int WAITING_CALLERS = 1024;

  private final ServerSocketChannel channel;

  private EarlySocket(ServerSocketChannel channel) {
    this.channel = channel;
  }

  /** Opens the socket; empty if the settings do not say where or the address is not to be had. */
  static Optional<EarlySocket> open(Path settings) {
    try {
      Optional<Endpoint> callers = callersIn(settings);
      if (callers.isEmpty()) {
        return Optional.empty();
      }
      return Optional.of(new EarlySocket(bind(callers.get())));
    } catch (IOException | IllegalArgumentException e) {
      Log.logger
          .atWarning()
          .log("callers are not let in before the start is done: %s", e.getMessage());
      return Optional.empty();
    }
  }

  private static ServerSocketChannel bind(Endpoint address) throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    try {
      return channel.bind(new InetSocketAddress(address.host(), address.port()), WAITING_CALLERS);
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  /** Returns the address in the settings, read without what the whole settings need. */
  private static Optional<Endpoint> callersIn(Path settings) throws IOException {
    try (JsonParser parser = new JsonFactory().createParser(settings.toFile())) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        return Optional.empty();
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        boolean found = parser.currentName().equals(CALLERS);
        JsonToken value = parser.nextToken();
        if (found && value == JsonToken.VALUE_STRING) {
          return Optional.of(Endpoint.parse(parser.getText()));
        }
        parser.skipChildren();
      }
      return Optional.empty();
    }
  }

  /** Returns a transport whose first server takes the socket over. */
  Transport transport() {
    io.vertx.core.spi.transport.Transport early = new EarlyTransport(channel);
    return new Transport() {
      @Override
      public String name() {
        return "early";
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
        return early;
      }
    };
  }

  /** Sets logging up on first use: that takes longer than opening the socket. */
  private static final class Log {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  }

  /** The usual transport, but for its first server socket. Used from event loops. */
  private static final class EarlyTransport extends NioTransport {
    private Optional<ServerSocketChannel> opened;

    EarlyTransport(ServerSocketChannel opened) {
      this.opened = Optional.of(opened);
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
      ChannelFactory<? extends ServerChannel> usual = super.serverChannelFactory(domainSocket);
      return () -> take().<ServerChannel>map(OpenedChannel::new).orElseGet(usual::newChannel);
    }

    private synchronized Optional<ServerSocketChannel> take() {
      Optional<ServerSocketChannel> taken = opened;
      opened = Optional.empty();
      return taken;
    }
  }

  /** A server channel whose socket is bound already; it accepts nobody until it is told to bind. */
  private static final class OpenedChannel extends NioServerSocketChannel {
    private boolean taken;

    OpenedChannel(ServerSocketChannel opened) {
      super(opened);
    }

    @Override
    public boolean isActive() {
      return taken && super.isActive();
    }

    @Override
    protected void doBind(SocketAddress address) throws IOException {
      SocketAddress bound = javaChannel().getLocalAddress();
      if (!bound.equals(address)) {
        throw new IOException("the first server is for " + address + ", not for " + bound);
      }
      taken = true;
    }
  }
}
