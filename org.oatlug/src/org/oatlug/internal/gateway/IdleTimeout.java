// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Supplier;
import org.oatlug.internal.util.TimeoutEvidence;

/**
 * Detects when the upstream of one attempt sends nothing for too long.
 *
 * <p>Time during which this instance does not read, because the caller reads slowly, does not count
 * as idle. If the event loop lagged, the data may have arrived without having been read: the
 * timeout is extended by the lag, once in an idle period. Invariants: the timeout is reported at
 * most once, and never after {@link #stop}. Used from one event loop.
 */
final class IdleTimeout {
  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final InstantSource clock;
  private final TimeoutEvidence timeouts;
  private final Supplier<Duration> timeout;
  private final Listener listener;
  private long timer = NO_TIMER;
  private Instant timerDueAt = Instant.EPOCH;
  private Instant lastActivity;
  private Optional<Instant> extendedAt = Optional.empty();
  private boolean paused;
  private boolean stopped;

  /** Receives the timeout. */
  @FunctionalInterface
  interface Listener {
    /**
     * Called when the upstream has been idle for the timeout.
     *
     * @param isEvidence whether this says something about the upstream; false if the event loop
     *     lagged again after the extension
     */
    void timedOut(boolean isEvidence);
  }

  private IdleTimeout(GatewayComponents components, Supplier<Duration> timeout, Listener listener) {
    this.vertx = components.vertx();
    this.clock = components.clock();
    this.timeouts = components.timeouts();
    this.timeout = timeout;
    this.listener = listener;
    this.lastActivity = clock.instant();
  }

  /**
   * Returns a timeout that measures idle time from now on and reports none before {@link #start}.
   *
   * @param timeout returns the current timeout, called at each check
   */
  static IdleTimeout create(
      GatewayComponents components, Supplier<Duration> timeout, Listener listener) {
    return new IdleTimeout(components, timeout, listener);
  }

  /** Starts to report idle time that reaches the timeout. */
  void start() {
    schedule(timeout.get().minus(idleTime()));
  }

  private void schedule(Duration remaining) {
    long millis = Math.max(1, remaining.toMillis());
    timerDueAt = clock.instant().plusMillis(millis);
    timer = vertx.setTimer(millis, unused -> check());
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
    extendedAt = Optional.empty();
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
    extendedAt = Optional.empty();
  }

  private Duration idleTime() {
    return Duration.between(lastActivity, clock.instant());
  }

  private void timedOut(Duration limit) {
    Duration lag = timeouts.lagSince(extendedAt.orElse(lastActivity), timerDueAt);
    boolean isEvidence = timeouts.counts(lag, limit);
    if (isEvidence || extendedAt.isPresent()) {
      listener.timedOut(isEvidence);
      return;
    }
    extendedAt = Optional.of(clock.instant());
    // Bounded, because the lag after a suspension of the host may be hours.
    schedule(lag.compareTo(limit) < 0 ? lag : limit);
  }

  private void check() {
    timer = NO_TIMER;
    if (stopped) {
      return;
    }
    if (!paused && idleTime().compareTo(timeout.get()) >= 0) {
      timedOut(timeout.get());
      return;
    }
    if (paused) {
      lastActivity = clock.instant();
    }
    start();
  }
}
