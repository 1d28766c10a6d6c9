// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.Supplier;

/**
 * Detects when the upstream of one attempt sends nothing for too long.
 *
 * <p>Time during which this instance does not read, because the caller reads slowly, does not count
 * as silence. Invariants: the timeout is reported at most once, and never after {@link #stop}. Used
 * from one event loop.
 */
final class IdleTimeout {
  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final InstantSource clock;
  private final Supplier<Duration> timeout;
  private final Runnable onTimeout;
  private long timer = NO_TIMER;
  private Instant lastActivity;
  private boolean paused;
  private boolean stopped;

  private IdleTimeout(GatewayComponents parts, Supplier<Duration> timeout, Runnable onTimeout) {
    this.vertx = parts.vertx();
    this.clock = parts.clock();
    this.timeout = timeout;
    this.onTimeout = onTimeout;
    this.lastActivity = clock.instant();
  }

  /**
   * Returns a watch that measures silence from now on and reports none before {@link #start}.
   *
   * @param timeout returns the current timeout, called at each check
   * @param onTimeout called when the upstream has been silent for the timeout
   */
  static IdleTimeout create(
      GatewayComponents parts, Supplier<Duration> timeout, Runnable onTimeout) {
    return new IdleTimeout(parts, timeout, onTimeout);
  }

  /** Starts to report a silence that reaches the timeout. */
  void start() {
    long remainingMillis = timeout.get().minus(silence()).toMillis();
    timer = vertx.setTimer(Math.max(1, remainingMillis), unused -> check());
  }

  /** Stops the watch; nothing is reported afterwards. */
  void stop() {
    stopped = true;
    vertx.cancelTimer(timer);
  }

  /** Records activity of the upstream; returns the length of the silence before it. */
  Duration recordActivity() {
    Instant now = clock.instant();
    Duration pause = Duration.between(lastActivity, now);
    lastActivity = now;
    return pause;
  }

  /** Records that this instance has stopped reading. */
  void pause() {
    paused = true;
  }

  /** Records that this instance reads again. */
  void resume() {
    paused = false;
    lastActivity = clock.instant();
  }

  private Duration silence() {
    return Duration.between(lastActivity, clock.instant());
  }

  private void check() {
    timer = NO_TIMER;
    if (stopped) {
      return;
    }
    if (!paused && silence().compareTo(timeout.get()) >= 0) {
      onTimeout.run();
      return;
    }
    if (paused) {
      lastActivity = clock.instant();
    }
    start();
  }
}
