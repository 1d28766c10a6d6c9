// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides which new connections of callers an instance admits, before anything is read from them.
 *
 * <p>Load pattern: callers open more connections than the instance can serve. Reading all requests
 * takes the processor time of those that could still be served in time. Closing a connection unread
 * is safe for its caller, who may repeat any request, and a repetition usually reaches another
 * instance. Requests on open connections go on, so the delay falls.
 *
 * <p>Invariants: a connection is refused only if the predicted delay of a request exceeds half of
 * the shortest goal, and only within {@link #ADMISSION_INTERVAL} of an admitted one. Owned by one
 * event loop, not thread-safe.
 */
public final class ConnectionAdmission {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * The time from which another connection is admitted under overload. An instance that reports
   * itself ready has to accept at least one of seven attempts within 4 s.
   */
  private static final Duration ADMISSION_INTERVAL = Duration.ofMillis(250);

  /** The part of the shortest goal from which a request is too late: upstreams need the rest. */
  private static final int GOAL_DIVISOR = 2;

  /** The time without overload after which it has ended, so that log lines stay rare. */
  private static final Duration END_AFTER = Duration.ofSeconds(1);

  private Optional<Instant> admittedAt = Optional.empty();
  private Optional<Instant> overloadedSince = Optional.empty();
  private Instant lastOverloaded = Instant.EPOCH;
  private long refusedInOverload;

  /** The decision about a new connection. */
  public enum Decision {
    /** It is served. */
    ADMITTED,
    /** It is served although the instance is overloaded. */
    ADMITTED_OVERLOADED,
    /** It is closed before anything is read. */
    REFUSED
  }

  /**
   * The load of the instance.
   *
   * @param eventLoopDelay the minimum event-loop lag of a short time
   * @param oldestWait the wait of the oldest request that has not started
   * @param queued the number of requests that have not started
   * @param open the number of open requests
   */
  public record Load(Duration eventLoopDelay, Duration oldestWait, int queued, int open) {
    /** Returns the predicted time until a new request starts. */
    Duration predictedDelay() {
      return eventLoopDelay.plus(oldestWait);
    }
  }

  private ConnectionAdmission() {}

  /** Returns the admission of an instance without overload. */
  public static ConnectionAdmission create() {
    return new ConnectionAdmission();
  }

  /**
   * Decides about a new connection.
   *
   * @param shortestGoal the shortest goal of the routes in force, empty if none has a goal
   */
  public Decision decide(Load load, Optional<Duration> shortestGoal, Instant now) {
    if (!isOverloaded(load, shortestGoal, now)) {
      endOverloadIfOver(now);
      admittedAt = Optional.of(now);
      return Decision.ADMITTED;
    }
    if (admittedAt.isEmpty() || !now.isBefore(admittedAt.get().plus(ADMISSION_INTERVAL))) {
      admittedAt = Optional.of(now);
      return Decision.ADMITTED_OVERLOADED;
    }
    refusedInOverload++;
    return Decision.REFUSED;
  }

  /** Returns whether connections are to be refused, and records that they are. */
  public boolean isOverloaded(Load load, Optional<Duration> shortestGoal, Instant now) {
    Optional<Duration> bound = shortestGoal.map(goal -> goal.dividedBy(GOAL_DIVISOR));
    if (bound.isEmpty() || load.predictedDelay().compareTo(bound.get()) <= 0) {
      return false;
    }
    recordOverload(load, bound.get(), now);
    return true;
  }

  /** Records connections that were refused in the thread that accepts them. */
  public void recordRefused(long connections) {
    refusedInOverload += connections;
  }

  private void recordOverload(Load load, Duration bound, Instant now) {
    lastOverloaded = now;
    if (overloadedSince.isEmpty()) {
      overloadedSince = Optional.of(now);
      refusedInOverload = 0;
      logger.atWarning().log(
          "instance overloaded, delay=%d queued=%d open=%d boundMillis=%d",
          load.predictedDelay().toMillis(), load.queued(), load.open(), bound.toMillis());
    }
  }

  /** Logs the end of an overload, once there was none for a second. */
  public void endOverloadIfOver(Instant now) {
    if (overloadedSince.isPresent() && now.isAfter(lastOverloaded.plus(END_AFTER))) {
      logger.atInfo().log(
          "instance no longer overloaded after %d, connections refused=%d",
          Duration.between(overloadedSince.get(), lastOverloaded).toMillis(), refusedInOverload);
      overloadedSince = Optional.empty();
    }
  }
}
