// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.oatlug.gateway.CallerLimits;
import org.oatlug.internal.limit.AcceptWindow;

/**
 * One connection of a caller, with its idle timeout and the timeout of a request head.
 *
 * <p>The idle timeout is read again when the timer fires, so that a longer one configured by then
 * applies. Invariant: no connection is closed here while a request on it is open. Used from one
 * event loop.
 */
final class CallerConnection {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long NO_TIMER = -1;

  /** The time after which a connection without a request no longer counts as load. */
  private static final long MAXIMUM_PLACE_MILLIS = 1000;

  private final Vertx vertx;
  private final HttpConnection connection;
  private final Supplier<CallerLimits> limits;
  private int openRequests;
  private boolean closed;
  private boolean framingInvalid;

  /** The place that the connection occupies until its first request, if accepting is limited. */
  private Optional<AcceptWindow.Permit> permit = Optional.empty();

  /** The start of the idle period, as {@link System#nanoTime}. */
  private long idleSinceNanos;

  private long idleTimer = NO_TIMER;
  private long headTimer = NO_TIMER;

  private CallerConnection(Vertx vertx, HttpConnection connection, Supplier<CallerLimits> limits) {
    this.vertx = vertx;
    this.connection = connection;
    this.limits = limits;
  }

  /** Starts the timeouts of a connection that was just opened. */
  static CallerConnection watch(
      Vertx vertx, HttpConnection connection, Supplier<CallerLimits> limits) {
    CallerConnection callerConnection = new CallerConnection(vertx, connection, limits);
    callerConnection.startIdleTimer();
    return callerConnection;
  }

  /** Keeps a place until the first request, or at most for a short time. */
  void occupy(AcceptWindow.Permit place) {
    permit = Optional.of(place);
    vertx.setTimer(MAXIMUM_PLACE_MILLIS, unused -> place.release());
  }

  /** Records that the connection is closed. */
  void closed() {
    closed = true;
    permit.ifPresent(AcceptWindow.Permit::release);
    cancelHeadTimer();
    cancelIdleTimer();
  }

  /** Records that bytes arrived; the first bytes of a request start the timeout of its head. */
  void bytesArrived() {
    if (openRequests == 0 && headTimer == NO_TIMER && !closed) {
      long millis = Math.max(1, limits.get().headerTimeoutMillis());
      headTimer = vertx.setTimer(millis, unused -> headTimedOut());
    }
  }

  private void headTimedOut() {
    headTimer = NO_TIMER;
    if (openRequests == 0) {
      logger.atInfo().log("closing a connection: its request head was not complete in time");
      HeadTimeoutResponse.send(connection);
    }
  }

  private void cancelHeadTimer() {
    if (headTimer != NO_TIMER) {
      vertx.cancelTimer(headTimer);
      headTimer = NO_TIMER;
    }
  }

  /** Records that a request began. */
  void requestBegan() {
    openRequests++;
    permit.ifPresent(AcceptWindow.Permit::release);
    cancelHeadTimer();
    cancelIdleTimer();
  }

  /** Records that the answer to a request ended. */
  void requestEnded() {
    openRequests--;
    if (framingInvalid) {
      connection.close();
    } else if (openRequests == 0 && !closed) {
      startIdleTimer();
    }
  }

  /** Marks the framing as invalid, so that the connection is closed once its request has ended. */
  void markFramingInvalid() {
    framingInvalid = true;
  }

  /** Returns whether the framing is invalid, so that no further request may be read. */
  boolean isFramingInvalid() {
    return framingInvalid;
  }

  /** Returns whether no request is open on the connection. */
  boolean isIdle() {
    return openRequests == 0;
  }

  /** Closes the connection. */
  void close() {
    connection.close();
  }

  private void startIdleTimer() {
    idleSinceNanos = System.nanoTime();
    scheduleIdleCheck(limits.get().idleTimeoutMillis());
  }

  private void scheduleIdleCheck(long millis) {
    cancelIdleTimer();
    idleTimer = vertx.setTimer(Math.max(1, millis), unused -> idleTimerFired());
  }

  private void idleTimerFired() {
    idleTimer = NO_TIMER;
    long idleMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - idleSinceNanos);
    long remainingMillis = limits.get().idleTimeoutMillis() - idleMillis;
    if (remainingMillis > 0) {
      scheduleIdleCheck(remainingMillis);
    } else {
      connection.close();
    }
  }

  private void cancelIdleTimer() {
    if (idleTimer != NO_TIMER) {
      vertx.cancelTimer(idleTimer);
      idleTimer = NO_TIMER;
    }
  }
}
