// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs actions at the deadlines of open requests.
 *
 * <p>Timers use the monotonic clock, which stands still while the host is suspended: after a
 * suspension they would fire late by its length. Invariant: each action runs once, unless it is
 * cancelled before. Used from one event loop.
 */
final class DeadlineTimers {
  private final Vertx vertx;
  private final InstantSource clock;
  private final Map<Long, ScheduledAction> scheduled = new LinkedHashMap<>();

  private record ScheduledAction(Instant deadline, Runnable action) {}

  private DeadlineTimers(Vertx vertx, InstantSource clock) {
    this.vertx = vertx;
    this.clock = clock;
  }

  /** Returns timers without scheduled actions. */
  static DeadlineTimers create(Vertx vertx, InstantSource clock) {
    return new DeadlineTimers(vertx, clock);
  }

  /** Schedules an action at a deadline; returns the ID with which to cancel it. */
  long schedule(Instant deadline, Runnable action) {
    long remainingMillis = Math.max(1, Duration.between(clock.instant(), deadline).toMillis());
    long timer = vertx.setTimer(remainingMillis, this::fire);
    scheduled.put(timer, new ScheduledAction(deadline, action));
    return timer;
  }

  private void fire(long timer) {
    ScheduledAction expired = scheduled.remove(timer);
    if (expired != null) {
      expired.action().run();
    }
  }

  /** Cancels an action; does nothing if it has already run. */
  void cancel(long timer) {
    if (scheduled.remove(timer) != null) {
      vertx.cancelTimer(timer);
    }
  }

  /** Runs overdue actions, as after a suspension, and reschedules the others by the clock. */
  void rescheduleAll() {
    Instant now = clock.instant();
    for (Map.Entry<Long, ScheduledAction> entry : List.copyOf(scheduled.entrySet())) {
      long remainingMillis = Duration.between(now, entry.getValue().deadline()).toMillis();
      if (remainingMillis <= 0) {
        vertx.cancelTimer(entry.getKey());
        fire(entry.getKey());
      } else {
        vertx.setTimer(remainingMillis, unused -> fire(entry.getKey()));
      }
    }
  }
}
