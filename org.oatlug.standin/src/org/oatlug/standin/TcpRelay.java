// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * TCP relay that simulates the network between two availability zones. It can close connections,
 * make them silent, drop bytes and delay them. Used from one event loop, except for {@link
 * #silenceOpenConnections}.
 */
public final class TcpRelay {
  /** Selects how the relay treats connections and bytes. */
  public enum Mode {
    /** Forwards everything. */
    PASS,
    /** Closes open connections and rejects new ones. */
    CUT,
    /** Accepts connections but discards all bytes, as a network that drops packets. */
    DROP
  }

  private final Vertx vertx;
  private final NetClient client;
  private final String host;
  private final int port;
  private final List<NetSocket> sockets = new CopyOnWriteArrayList<>();
  private final Set<NetSocket> silentSockets = ConcurrentHashMap.newKeySet();
  private Mode mode = Mode.PASS;
  private String blockedPrefix = "";
  private long delayMillis;

  private TcpRelay(Vertx vertx, String host, int port) {
    this.vertx = vertx;
    this.client = vertx.createNetClient();
    this.host = host;
    this.port = port;
  }

  /** Returns a relay to {@code host} and {@code port} that does not listen yet. */
  public static TcpRelay to(Vertx vertx, String host, int port) {
    return new TcpRelay(vertx, host, port);
  }

  /** Starts to listen on the given host and port. */
  public Future<NetServer> listen(String listenHost, int listenPort) {
    return vertx.createNetServer().connectHandler(this::accept).listen(listenPort, listenHost);
  }

  /** Changes the mode; {@link Mode#CUT} also closes all open connections. */
  public void setMode(Mode newMode) {
    mode = newMode;
    if (newMode == Mode.CUT) {
      List.copyOf(sockets).forEach(NetSocket::close);
    }
  }

  /** Discards the bytes of all open connections from now on, without a reset; new ones work. */
  public void silenceOpenConnections() {
    silentSockets.addAll(sockets);
  }

  /** Rejects and closes connections from addresses with this prefix; an empty one blocks none. */
  public void blockSource(String prefix) {
    blockedPrefix = prefix;
    List.copyOf(sockets).stream().filter(this::isBlocked).forEach(NetSocket::close);
  }

  private boolean isBlocked(NetSocket socket) {
    return !blockedPrefix.isEmpty() && socket.remoteAddress().host().startsWith(blockedPrefix);
  }

  /** Sets the delay of bytes in each direction, in milliseconds. */
  public void setDelay(long millis) {
    delayMillis = millis;
  }

  private void accept(NetSocket inbound) {
    if (mode == Mode.CUT || isBlocked(inbound)) {
      inbound.close();
      return;
    }
    inbound.pause();
    addSocket(inbound);
    client
        .connect(port, host)
        .onComplete(
            outbound -> {
              addSocket(outbound);
              forward(inbound, outbound);
              forward(outbound, inbound);
              inbound.resume();
            },
            failure -> inbound.close());
  }

  private void addSocket(NetSocket socket) {
    sockets.add(socket);
  }

  private void forward(NetSocket from, NetSocket to) {
    from.handler(bytes -> forwardBytes(from, bytes, to));
    from.closeHandler(
        unused -> {
          sockets.remove(from);
          silentSockets.remove(from);
          to.close();
        });
  }

  private void forwardBytes(NetSocket from, Buffer bytes, NetSocket to) {
    if (mode == Mode.DROP || silentSockets.contains(from)) {
      return;
    }
    if (delayMillis > 0) {
      vertx.setTimer(delayMillis, unused -> to.write(bytes));
    } else {
      to.write(bytes);
    }
  }
}
