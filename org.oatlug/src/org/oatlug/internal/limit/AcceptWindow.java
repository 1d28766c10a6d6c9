// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Limits how many connections are accepted, so that those beyond the capacity of this instance wait
 * in the short backlog of the operating system or are not opened at all.
 *
 * <p>Load pattern: a connection that is closed unread returns at once, and one that is read takes
 * the link and the processor. A connection that is not opened costs one packet, and its caller
 * waits about a second before it is tried again.
 *
 * <p>Accepted connections without a request, and requests until they are written to an upstream,
 * occupy places. A request that waits for its upstream occupies none: few places would be filled by
 * streams that need little of this instance. Invariants: while all places are occupied, a
 * connection is accepted every {@link #INTERVAL}; a permit is released once. Thread-safe: the
 * accepting thread takes permits, the event loop releases them and sets the limit.
 */
public final class AcceptWindow {
  /**
   * The time after which another connection is accepted without a free place. An instance that
   * reports itself ready has to accept at least one of seven attempts within 4 s.
   */
  public static final Duration INTERVAL = Duration.ofMillis(250);

  private final InstantSource clock;
  private final AtomicInteger occupied = new AtomicInteger();
  private final AtomicReference<Instant> lastAccepted = new AtomicReference<>(Instant.EPOCH);
  private final AtomicReference<Runnable> onPlace = new AtomicReference<>();
  private final AtomicLong held = new AtomicLong();
  private volatile int limit = Integer.MAX_VALUE;

  /** The place of a connection that was accepted and has sent no request yet. Thread-safe. */
  public final class Permit {
    private final AtomicBoolean released = new AtomicBoolean();

    private Permit() {}

    /** Releases the place; later calls have no effect. */
    public void release() {
      if (released.compareAndSet(false, true)) {
        leave();
      }
    }
  }

  private AcceptWindow(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns a window without a limit. */
  public static AcceptWindow create(InstantSource clock) {
    return new AcceptWindow(clock);
  }

  /** Takes a place for a connection that is to be accepted, empty if it has to wait. */
  public Optional<Permit> tryAcquire() {
    if (hasPlace()) {
      occupied.incrementAndGet();
      return Optional.of(new Permit());
    }
    return Optional.empty();
  }

  /** Records that a connection was accepted. */
  public void recordAccepted() {
    lastAccepted.set(clock.instant());
  }

  /** Takes a place whatever the limit, for a connection that was accepted before. */
  public Permit acquire() {
    occupied.incrementAndGet();
    return new Permit();
  }

  /**
   * Runs the action once there may be a place, at once if there is one already.
   *
   * @param action resumes accepting; called from any thread
   */
  public void whenPlace(Runnable action) {
    held.incrementAndGet();
    onPlace.set(action);
    resumeIfPlace();
  }

  /** Records that a request began, on whatever connection. */
  public void requestBegan() {
    occupied.incrementAndGet();
  }

  /** Records that a request was written to an upstream, or ended before. */
  public void requestReleased() {
    leave();
  }

  private void leave() {
    occupied.decrementAndGet();
    resumeIfPlace();
  }

  private void resumeIfPlace() {
    if (onPlace.get() != null && hasPlace()) {
      Optional.ofNullable(onPlace.getAndSet(null)).ifPresent(Runnable::run);
    }
  }

  private boolean hasPlace() {
    return occupied.get() < limit || !clock.instant().isBefore(lastAccepted.get().plus(INTERVAL));
  }

  /** Sets the number of places. */
  public void setLimit(int places) {
    limit = places;
    resumeIfPlace();
  }

  /** Returns the number of occupied places, which may exceed the limit. */
  public int occupied() {
    return occupied.get();
  }

  /** Returns how often accepting had to wait since the last call. */
  public long takeHeld() {
    return held.getAndSet(0);
  }
}
