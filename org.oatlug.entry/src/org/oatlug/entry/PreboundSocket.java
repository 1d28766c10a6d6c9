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
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.oatlug.gateway.GatewaySettings.Endpoint;
import org.oatlug.internal.limit.AcceptGate;

/**
 * A server socket for callers that is opened before the rest of the process starts.
 *
 * <p>Loading the libraries takes several times as long as reading one field of the settings. A
 * caller that connects in the meantime waits in the backlog of the socket and is then served.
 * Without the socket, the operating system would refuse the connection and the caller would give up
 * after a few attempts.
 *
 * <p>Invariant: the first server that is started with {@link #transport} receives the socket and
 * must be the server for callers. Used by the main thread, then by the transport.
 */
final class PreboundSocket {
  /** The settings field with the listen address for callers. */
  private static final String CALLERS = "callers";

  /**
   * The maximum number of connections that wait to be accepted: those of some seconds at the
   * busiest instance.
   */
  private static final int BACKLOG = 1024;

  private final ServerSocketChannel channel;

  private PreboundSocket(ServerSocketChannel channel) {
    this.channel = channel;
  }

  /** Opens the socket; empty if the settings have no valid address or it cannot be bound. */
  static Optional<PreboundSocket> open(Path settings) {
    try {
      Optional<Endpoint> callers = readCallerAddress(settings);
      if (callers.isEmpty()) {
        return Optional.empty();
      }
      return Optional.of(new PreboundSocket(bind(callers.get())));
    } catch (IOException | IllegalArgumentException e) {
      Log.logger
          .atWarning()
          .log("cannot accept callers before the start is complete: %s", e.getMessage());
      return Optional.empty();
    }
  }

  private static ServerSocketChannel bind(Endpoint address) throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    try {
      return channel.bind(new InetSocketAddress(address.host(), address.port()), BACKLOG);
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  /** Reads only the address from the settings, without data binding. */
  private static Optional<Endpoint> readCallerAddress(Path settings) throws IOException {
    try (JsonParser parser = new JsonFactory().createParser(settings.toFile())) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        return Optional.empty();
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        boolean isCallers = parser.currentName().equals(CALLERS);
        JsonToken value = parser.nextToken();
        if (isCallers && value == JsonToken.VALUE_STRING) {
          return Optional.of(Endpoint.parse(parser.getText()));
        }
        parser.skipChildren();
      }
      return Optional.empty();
    }
  }

  /**
   * Returns a transport whose first server uses the socket.
   *
   * @param gate decides which connections the first server accepts
   */
  Transport transport(AcceptGate gate) {
    io.vertx.core.spi.transport.Transport preboundTransport = new PreboundTransport(channel, gate);
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
        return preboundTransport;
      }
    };
  }

  /** Initializes logging on first use, because that takes longer than opening the socket. */
  private static final class Log {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  }

  /** The default transport, except for its first server socket. Used by event loops. */
  private static final class PreboundTransport extends NioTransport {
    private final AcceptGate gate;
    private Optional<ServerSocketChannel> prebound;

    PreboundTransport(ServerSocketChannel prebound, AcceptGate gate) {
      this.prebound = Optional.of(prebound);
      this.gate = gate;
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
      ChannelFactory<? extends ServerChannel> defaultFactory =
          super.serverChannelFactory(domainSocket);
      return () ->
          take()
              .<ServerChannel>map(channel -> new PreboundChannel(channel, gate))
              .orElseGet(defaultFactory::newChannel);
    }

    private synchronized Optional<ServerSocketChannel> take() {
      Optional<ServerSocketChannel> result = prebound;
      prebound = Optional.empty();
      return result;
    }
  }

  /** A server channel with a bound socket; it accepts no connection until {@link #doBind}. */
  private static final class PreboundChannel extends NioServerSocketChannel {
    /** The connections that are refused in one go, before other events are handled. */
    private static final int MAXIMUM_REFUSED_AT_ONCE = 64;

    private final AcceptGate gate;
    private boolean bindCalled;

    PreboundChannel(ServerSocketChannel prebound, AcceptGate gate) {
      super(prebound);
      this.gate = gate;
    }

    /** Accepts a connection; closes those that the gate refuses before anything is read. */
    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
      if (!gate.isClosed()) {
        return super.doReadMessages(accepted);
      }
      for (int count = 0; count < MAXIMUM_REFUSED_AT_ONCE; count++) {
        SocketChannel connection = javaChannel().accept();
        if (connection == null) {
          return 0;
        }
        if (gate.passes()) {
          accepted.add(new NioSocketChannel(this, connection));
          return 1;
        }
        connection.close();
      }
      return 0;
    }

    @Override
    public boolean isActive() {
      return bindCalled && super.isActive();
    }

    @Override
    protected void doBind(SocketAddress address) throws IOException {
      SocketAddress bound = javaChannel().getLocalAddress();
      if (!bound.equals(address)) {
        throw new IOException("the first server binds to " + address + ", not to " + bound);
      }
      bindCalled = true;
    }
  }
}
