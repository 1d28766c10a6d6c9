// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * A TCP relay that stands in for a network between two availability zones: it can cut, hold and
 * delay. Used from one event loop.
 */
public final class Relay {
  /** What the relay does with connections and bytes. */
  public enum Mode {
    /** Passes everything on. */
    PASS,
    /** Closes connections and accepts none. */
    CUT,
    /** Accepts connections and passes nothing on, as a network that drops packets. */
    HOLD
  }

  private final Vertx vertx;
  private final NetClient client;
  private final String host;
  private final int port;
  private final List<NetSocket> open = new ArrayList<>();
  private Mode mode = Mode.PASS;
  private String cutSource = "";
  private long delayMillis;

  private Relay(Vertx vertx, String host, int port) {
    this.vertx = vertx;
    this.client = vertx.createNetClient();
    this.host = host;
    this.port = port;
  }

  /** Returns a relay to {@code host} and {@code port}, which does not listen yet. */
  public static Relay to(Vertx vertx, String host, int port) {
    return new Relay(vertx, host, port);
  }

  /** Starts to listen. */
  public Future<NetServer> listen(String listenHost, int listenPort) {
    return vertx.createNetServer().connectHandler(this::accept).listen(listenPort, listenHost);
  }

  /** Changes what the relay does; connections that were made under another mode are closed. */
  public void mode(Mode newMode) {
    mode = newMode;
    if (newMode == Mode.CUT) {
      List.copyOf(open).forEach(NetSocket::close);
    }
  }

  /** Cuts connections from addresses that start with {@code prefix}; an empty one cuts none. */
  public void cutFrom(String prefix) {
    cutSource = prefix;
    List.copyOf(open).stream().filter(this::isFromCut).forEach(NetSocket::close);
  }

  private boolean isFromCut(NetSocket socket) {
    return !cutSource.isEmpty() && socket.remoteAddress().host().startsWith(cutSource);
  }

  /** Delays bytes in each direction. */
  public void delay(long millis) {
    delayMillis = millis;
  }

  private void accept(NetSocket near) {
    if (mode == Mode.CUT || isFromCut(near)) {
      near.close();
      return;
    }
    near.pause();
    track(near);
    client
        .connect(port, host)
        .onComplete(
            far -> {
              track(far);
              join(near, far);
              join(far, near);
              near.resume();
            },
            failure -> near.close());
  }

  private void track(NetSocket socket) {
    open.add(socket);
  }

  private void join(NetSocket from, NetSocket to) {
    from.handler(bytes -> pass(bytes, to));
    from.closeHandler(
        unused -> {
          open.remove(from);
          to.close();
        });
  }

  private void pass(Buffer bytes, NetSocket to) {
    if (mode == Mode.HOLD) {
      return;
    }
    if (delayMillis > 0) {
      vertx.setTimer(delayMillis, unused -> to.write(bytes));
    } else {
      to.write(bytes);
    }
  }
}
