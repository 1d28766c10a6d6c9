// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.oatlug.gateway.GatewaySettings.Endpoint;
import org.oatlug.internal.gateway.GatewayServer;
import org.oatlug.internal.limit.AcceptGate;
import org.oatlug.internal.limit.AcceptWindow;

/**
 * A server socket for callers that is opened before the rest of the process starts.
 *
 * <p>Loading the libraries takes several times as long as reading one field of the settings. A
 * caller that connects in the meantime waits there, or in the backlog of the socket, and is then
 * served. Without the socket, the operating system would refuse the connection and the caller would
 * give up after a few attempts.
 *
 * <p>Invariant: the first server that is started with {@link #transport} receives the socket and
 * must be the server for callers. Used by the main thread, then by the transport.
 */
final class PreboundSocket {
  /** The settings field with the listen address for callers. */
  private static final String CALLERS = "callers";

  /** The settings fields of the switch that limits accepting. */
  private static final String LOAD_MANAGEMENT = "loadManagement";

  private static final String ACCEPTING = "accepting";

  /**
   * The maximum number of connections that wait to be accepted: those of some seconds at the
   * busiest instance.
   */
  private static final int BACKLOG = 1024;

  /**
   * The backlog if accepting is limited. A connection that waits there delays those behind it and
   * its bytes use the link, while one that is not opened costs a packet.
   */
  private static final int SHORT_BACKLOG = 8;

  private final ServerSocketChannel channel;
  private final Optional<EarlyConnections> early;

  private PreboundSocket(ServerSocketChannel channel, Optional<EarlyConnections> early) {
    this.channel = channel;
    this.early = early;
  }

  /** The settings that the socket depends on. */
  private record SocketSettings(Optional<Endpoint> callers, boolean limitsAccepting) {}

  /** Opens the socket; empty if the settings have no valid address or it cannot be bound. */
  static Optional<PreboundSocket> open(Path settings) {
    try {
      SocketSettings read = read(settings);
      if (read.callers().isEmpty()) {
        return Optional.empty();
      }
      if (!read.limitsAccepting()) {
        return Optional.of(
            new PreboundSocket(bind(read.callers().get(), BACKLOG), Optional.empty()));
      }
      ServerSocketChannel channel = bind(read.callers().get(), SHORT_BACKLOG);
      return Optional.of(
          new PreboundSocket(channel, Optional.of(EarlyConnections.accept(channel))));
    } catch (IOException | IllegalArgumentException e) {
      Log.logger
          .atWarning()
          .log("cannot accept callers before the start is complete: %s", e.getMessage());
      return Optional.empty();
    }
  }

  private static ServerSocketChannel bind(Endpoint address, int backlog) throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    try {
      return channel.bind(new InetSocketAddress(address.host(), address.port()), backlog);
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  /** Reads only the address and the switch from the settings, without data binding. */
  private static SocketSettings read(Path settings) throws IOException {
    Optional<Endpoint> callers = Optional.empty();
    boolean limitsAccepting = false;
    try (JsonParser parser = new JsonFactory().createParser(settings.toFile())) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        return new SocketSettings(callers, limitsAccepting);
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String name = parser.currentName();
        JsonToken value = parser.nextToken();
        if (name.equals(CALLERS) && value == JsonToken.VALUE_STRING) {
          callers = Optional.of(Endpoint.parse(parser.getText()));
        } else if (name.equals(LOAD_MANAGEMENT) && value == JsonToken.START_OBJECT) {
          limitsAccepting = readLimitsAccepting(parser);
        } else {
          parser.skipChildren();
        }
      }
    }
    return new SocketSettings(callers, limitsAccepting);
  }

  /** Reads the object of the switches to its end; returns whether accepting may be limited. */
  private static boolean readLimitsAccepting(JsonParser parser) throws IOException {
    boolean limits = false;
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      JsonToken value = parser.nextToken();
      if (name.equals(ACCEPTING) && value == JsonToken.VALUE_STRING) {
        limits = parser.getText().equals("on") || parser.getText().equals("auto");
      }
      parser.skipChildren();
    }
    return limits;
  }

  /**
   * Returns a transport whose first server uses the socket.
   *
   * @param gate decides which connections the first server accepts
   * @param window limits how many connections the first server accepts
   */
  Transport transport(AcceptGate gate, AcceptWindow window) {
    io.vertx.core.spi.transport.Transport preboundTransport =
        new PreboundTransport(
            () ->
                new PreboundChannel(
                    channel, early.map(EarlyConnections::stop).orElse(List.of()), gate, window));
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
    private Optional<Supplier<ServerChannel>> prebound;

    PreboundTransport(Supplier<ServerChannel> prebound) {
      this.prebound = Optional.of(prebound);
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
      ChannelFactory<? extends ServerChannel> defaultFactory =
          super.serverChannelFactory(domainSocket);
      return () -> take().map(Supplier::get).orElseGet(defaultFactory::newChannel);
    }

    private synchronized Optional<Supplier<ServerChannel>> take() {
      Optional<Supplier<ServerChannel>> result = prebound;
      prebound = Optional.empty();
      return result;
    }
  }

  /** A server channel with a bound socket; it accepts no connection until {@link #doBind}. */
  private static final class PreboundChannel extends NioServerSocketChannel {
    /** The connections that are refused in one go, before other events are handled. */
    private static final int MAXIMUM_REFUSED_AT_ONCE = 64;

    private final List<SocketChannel> early;
    private final AcceptGate gate;
    private final AcceptWindow window;
    private Future<?> resumption = CompletableFuture.completedFuture(null);
    private boolean bindCalled;

    PreboundChannel(
        ServerSocketChannel prebound,
        List<SocketChannel> early,
        AcceptGate gate,
        AcceptWindow window) {
      super(prebound);
      this.early = early;
      this.gate = gate;
      this.window = window;
    }

    /**
     * Accepts a connection if the window has a place. While the gate is closed, closes those that
     * it refuses before anything is read.
     */
    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
      if (!gate.isClosed()) {
        return acceptWithin(accepted);
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

    private int acceptWithin(List<Object> accepted) throws IOException {
      Optional<AcceptWindow.Permit> permit = window.tryAcquire();
      if (permit.isEmpty()) {
        waitForPlace();
        return 0;
      }
      Optional<SocketChannel> connection = Optional.empty();
      try {
        connection = Optional.ofNullable(javaChannel().accept());
      } finally {
        if (connection.isEmpty()) {
          permit.get().release();
        }
      }
      if (connection.isEmpty()) {
        return 0;
      }
      window.recordAccepted();
      accepted.add(callerChannel(connection.get(), permit.get()));
      return 1;
    }

    /** Stops accepting until there is a place, or until one connection is accepted without it. */
    private void waitForPlace() {
      config().setAutoRead(false);
      resumption.cancel(false);
      resumption =
          eventLoop()
              .schedule(this::resume, AcceptWindow.INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
      window.whenPlace(this::resumeOnEventLoop);
    }

    /** Called from any thread, also after the server has been closed. */
    private void resumeOnEventLoop() {
      if (!eventLoop().isShuttingDown()) {
        eventLoop().execute(this::resume);
      }
    }

    private void resume() {
      resumption.cancel(false);
      config().setAutoRead(true);
    }

    private Channel callerChannel(SocketChannel connection, AcceptWindow.Permit permit) {
      NioSocketChannel caller = new NioSocketChannel(this, connection);
      caller.attr(GatewayServer.PERMIT).set(permit);
      caller.closeFuture().addListener(unused -> permit.release());
      return caller;
    }

    private void acceptEarly() {
      for (SocketChannel connection : early) {
        pipeline().fireChannelRead(callerChannel(connection, window.acquire()));
      }
      pipeline().fireChannelReadComplete();
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
      eventLoop().execute(this::acceptEarly);
    }
  }
}
