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
 * as idle. Invariants: the timeout is reported at most once, and never after {@link #stop}. Used
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

  private IdleTimeout(
      GatewayComponents components, Supplier<Duration> timeout, Runnable onTimeout) {
    this.vertx = components.vertx();
    this.clock = components.clock();
    this.timeout = timeout;
    this.onTimeout = onTimeout;
    this.lastActivity = clock.instant();
  }

  /**
   * Returns a timeout that measures idle time from now on and reports none before {@link #start}.
   *
   * @param timeout returns the current timeout, called at each check
   * @param onTimeout called when the upstream has been idle for the timeout
   */
  static IdleTimeout create(
      GatewayComponents components, Supplier<Duration> timeout, Runnable onTimeout) {
    return new IdleTimeout(components, timeout, onTimeout);
  }

  /** Starts to report idle time that reaches the timeout. */
  void start() {
    long remainingMillis = timeout.get().minus(idleTime()).toMillis();
    timer = vertx.setTimer(Math.max(1, remainingMillis), unused -> check());
  }

  /** Stops the timeout; nothing is reported afterwards. */
  void stop() {
    stopped = true;
    vertx.cancelTimer(timer);
  }

  /** Records activity of the upstream; returns the idle time before it. */
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

  private Duration idleTime() {
    return Duration.between(lastActivity, clock.instant());
  }

  private void check() {
    timer = NO_TIMER;
    if (stopped) {
      return;
    }
    if (!paused && idleTime().compareTo(timeout.get()) >= 0) {
      onTimeout.run();
      return;
    }
    if (paused) {
      lastActivity = clock.instant();
    }
    start();
  }
}
