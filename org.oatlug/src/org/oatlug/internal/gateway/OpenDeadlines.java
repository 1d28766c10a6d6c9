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
 * The timers of the deadlines of open requests.
 *
 * <p>Timers go by the steady clock, which a suspended host does not count: after a suspension they
 * would end late by its length. Invariant: what is due is done once, unless it is cancelled before.
 * Used from one event loop.
 */
final class OpenDeadlines {
  private final Vertx vertx;
  private final InstantSource clock;
  private final Map<Long, Due> open = new LinkedHashMap<>();

  private record Due(Instant deadline, Runnable action) {}

  private OpenDeadlines(Vertx vertx, InstantSource clock) {
    this.vertx = vertx;
    this.clock = clock;
  }

  /** Returns an object without timers. */
  static OpenDeadlines create(Vertx vertx, InstantSource clock) {
    return new OpenDeadlines(vertx, clock);
  }

  /** Does something at a deadline; returns the number under which that is cancelled. */
  long at(Instant deadline, Runnable action) {
    long left = Math.max(1, Duration.between(clock.instant(), deadline).toMillis());
    long timer = vertx.setTimer(left, this::due);
    open.put(timer, new Due(deadline, action));
    return timer;
  }

  private void due(long timer) {
    Due passed = open.remove(timer);
    if (passed != null) {
      passed.action().run();
    }
  }

  /** Cancels what was to be done. */
  void cancel(long timer) {
    if (open.remove(timer) != null) {
      vertx.cancelTimer(timer);
    }
  }

  /** Does what is overdue, as after a suspension, and the rest at its deadline by the clock. */
  void setAnew() {
    Instant now = clock.instant();
    for (Map.Entry<Long, Due> entry : List.copyOf(open.entrySet())) {
      long left = Duration.between(now, entry.getValue().deadline()).toMillis();
      if (left <= 0) {
        vertx.cancelTimer(entry.getKey());
        due(entry.getKey());
      } else {
        vertx.setTimer(left, unused -> due(entry.getKey()));
      }
    }
  }
}
