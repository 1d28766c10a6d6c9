// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Refuses connections in the thread that accepts them, while the instance is overloaded.
 *
 * <p>Load pattern: refused callers try again at once, so an overloaded instance may get many times
 * the connections that it can serve. To set up a connection takes about as long as to serve a short
 * request, so refusing it afterwards leaves little time for the others. Here a refused connection
 * costs two system calls.
 *
 * <p>Invariant: while the gate is closed, a connection passes every {@link #INTERVAL}. Thread-safe:
 * the event loop opens and closes the gate, the accepting thread asks whether a connection passes.
 */
public final class AcceptGate {
  /**
   * The time from which another connection passes the closed gate. An instance that reports itself
   * ready has to accept at least one of seven attempts within 4 s.
   */
  static final Duration INTERVAL = Duration.ofMillis(250);

  private final InstantSource clock;
  private final AtomicReference<Instant> lastPassed = new AtomicReference<>(Instant.EPOCH);
  private final AtomicLong refused = new AtomicLong();
  private final AtomicInteger passed = new AtomicInteger();
  private volatile boolean closed;

  private AcceptGate(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns an open gate. */
  public static AcceptGate create(InstantSource clock) {
    return new AcceptGate(clock);
  }

  /** Returns whether a new connection passes; counts it as refused if it does not. */
  public boolean passes() {
    if (!closed) {
      return true;
    }
    Instant now = clock.instant();
    Instant last = lastPassed.get();
    if (!now.isBefore(last.plus(INTERVAL)) && lastPassed.compareAndSet(last, now)) {
      passed.incrementAndGet();
      return true;
    }
    refused.incrementAndGet();
    return false;
  }

  /** Lets no connections pass from now on, except for one every {@link #INTERVAL}. */
  public void close() {
    lastPassed.set(clock.instant());
    closed = true;
  }

  /** Lets all connections pass. */
  public void open() {
    closed = false;
  }

  /** Returns whether connections are refused. */
  public boolean isClosed() {
    return closed;
  }

  /** Takes one of the connections that passed the closed gate; returns false if there is none. */
  public boolean takePassed() {
    return passed.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
  }

  /** Returns the number of connections refused since the last call. */
  public long takeRefused() {
    return refused.getAndSet(0);
  }
}
