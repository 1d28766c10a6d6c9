// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.oatlug.gateway.CallerLimits;

/**
 * One connection of a caller: closes it when it rested too long or sends a head too slowly.
 *
 * <p>The limit is read when the time is up, so that a longer one in force by then counts.
 * Invariant: no connection is closed here while a request on it is open. Used from one event loop.
 */
final class CallerConnection {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final HttpConnection connection;
  private final Supplier<CallerLimits> limits;
  private int open;
  private boolean closed;
  private boolean condemned;

  /** By the clock of {@link System#nanoTime}. */
  private long restingSince;

  private long timer = NO_TIMER;
  private long headTimer = NO_TIMER;

  private CallerConnection(Vertx vertx, HttpConnection connection, Supplier<CallerLimits> limits) {
    this.vertx = vertx;
    this.connection = connection;
    this.limits = limits;
  }

  /** Watches over a connection that was just opened. */
  static CallerConnection watch(
      Vertx vertx, HttpConnection connection, Supplier<CallerLimits> limits) {
    CallerConnection watched = new CallerConnection(vertx, connection, limits);
    watched.rest();
    return watched;
  }

  /** Notes that the connection is closed. */
  void closed() {
    closed = true;
    cancelHeadTimer();
    cancel();
  }

  /** Notes that bytes arrived; the head of a request has to be whole some time after its first. */
  void bytesArrived() {
    if (open == 0 && headTimer == NO_TIMER && !closed) {
      long millis = Math.max(1, limits.get().headerTimeoutMillis());
      headTimer = vertx.setTimer(millis, unused -> headIsLate());
    }
  }

  private void headIsLate() {
    headTimer = NO_TIMER;
    if (open == 0) {
      logger.atInfo().log("a connection is closed: the head of its request is late");
      LateHead.refuse(connection);
    }
  }

  private void cancelHeadTimer() {
    if (headTimer != NO_TIMER) {
      vertx.cancelTimer(headTimer);
      headTimer = NO_TIMER;
    }
  }

  /** Notes that a request began. */
  void requestBegan() {
    open++;
    cancelHeadTimer();
    cancel();
  }

  /** Notes that a request got its answer. */
  void requestEnded() {
    open--;
    if (condemned) {
      connection.close();
    } else if (open == 0 && !closed) {
      rest();
    }
  }

  /** Ends the connection: its framing is in doubt, so nothing more is taken from it. */
  void condemn() {
    condemned = true;
  }

  /** Returns whether nothing more is taken from the connection. */
  boolean isCondemned() {
    return condemned;
  }

  /** Returns whether no request is open on it. */
  boolean isResting() {
    return open == 0;
  }

  /** Closes the connection. */
  void close() {
    connection.close();
  }

  private void rest() {
    restingSince = System.nanoTime();
    schedule(limits.get().idleTimeoutMillis());
  }

  private void schedule(long millis) {
    cancel();
    timer = vertx.setTimer(Math.max(1, millis), unused -> timeUp());
  }

  private void timeUp() {
    timer = NO_TIMER;
    long restedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - restingSince);
    long left = limits.get().idleTimeoutMillis() - restedMillis;
    if (left > 0) {
      schedule(left);
    } else {
      connection.close();
    }
  }

  private void cancel() {
    if (timer != NO_TIMER) {
      vertx.cancelTimer(timer);
      timer = NO_TIMER;
    }
  }
}
