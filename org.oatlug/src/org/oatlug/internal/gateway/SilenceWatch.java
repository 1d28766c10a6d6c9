// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.Supplier;

/**
 * Watches for how long the upstream of one attempt is silent.
 *
 * <p>The time in which this instance reads nothing, because the caller reads slowly, is no silence.
 * Invariants: the end of the patience is told at most once, and never after {@link #stop}. Used
 * from one event loop.
 */
final class SilenceWatch {
  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final InstantSource clock;
  private final Supplier<Duration> patience;
  private final Runnable lost;
  private long timer = NO_TIMER;
  private Instant lastHeard;
  private boolean paused;
  private boolean stopped;

  private SilenceWatch(GatewayParts parts, Supplier<Duration> patience, Runnable lost) {
    this.vertx = parts.vertx();
    this.clock = parts.clock();
    this.patience = patience;
    this.lost = lost;
    this.lastHeard = clock.instant();
  }

  /**
   * Returns a watch that measures silence from now on, and tells of none before {@link #start}.
   *
   * @param patience how long the upstream may be silent, asked anew at each look
   * @param lost called when the upstream has been silent for that long
   */
  static SilenceWatch create(GatewayParts parts, Supplier<Duration> patience, Runnable lost) {
    return new SilenceWatch(parts, patience, lost);
  }

  /** Starts to tell of a silence that is too long. */
  void start() {
    long left = patience.get().minus(silence()).toMillis();
    timer = vertx.setTimer(Math.max(1, left), unused -> due());
  }

  /** Tells of nothing any more. */
  void stop() {
    stopped = true;
    vertx.cancelTimer(timer);
  }

  /** Notes a sign of life; returns how long the upstream was silent before it. */
  Duration heard() {
    Instant now = clock.instant();
    Duration pause = Duration.between(lastHeard, now);
    lastHeard = now;
    return pause;
  }

  /** Notes that this instance reads nothing for now. */
  void pause() {
    paused = true;
  }

  /** Notes that this instance reads again. */
  void resume() {
    paused = false;
    lastHeard = clock.instant();
  }

  private Duration silence() {
    return Duration.between(lastHeard, clock.instant());
  }

  private void due() {
    timer = NO_TIMER;
    if (stopped) {
      return;
    }
    if (!paused && silence().compareTo(patience.get()) >= 0) {
      lost.run();
      return;
    }
    if (paused) {
      lastHeard = clock.instant();
    }
    start();
  }
}
