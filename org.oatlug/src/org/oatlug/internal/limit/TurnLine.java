// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import java.util.function.Predicate;

/**
 * The requests that wait until this instance begins to work on them.
 *
 * <p>Load pattern: an instance that has just started after a loss of all gets what its callers sent
 * meanwhile, and works on each request in several steps of its event loop. When all begin at once,
 * each step of each waits for a step of all others, and most callers have left before the first
 * answer. With one begun in a turn of the loop it goes through its steps without the others; with
 * the newest first once the oldest waits for long, those that still can be in time are, and those
 * that cannot do not delay them. Turns and not open connections are counted, because a way that is
 * cut keeps connections opening for as long as that lasts.
 *
 * <p>Invariants: one request at most begins in a turn of the event loop, which takes less than a
 * millisecond where nothing is choked; one that can no longer be served takes no turn. Owned by one
 * event loop, not thread-safe.
 *
 * @param <T> the type of requests
 */
public final class TurnLine<T> {
  /** A wait of many turns that are not choked; the oldest are then too late for short goals. */
  private static final Duration CHOKED_AFTER = Duration.ofMillis(100);

  private final InstantSource clock;
  private final Executor eventLoop;
  private final Predicate<T> begin;
  private final Deque<Entry<T>> line = new ArrayDeque<>();
  private boolean turnTaken;

  private record Entry<T>(T request, Instant since) {}

  private TurnLine(InstantSource clock, Executor eventLoop, Predicate<T> begin) {
    this.clock = clock;
    this.eventLoop = eventLoop;
    this.begin = begin;
  }

  /**
   * Returns an empty line.
   *
   * @param eventLoop runs an action in a later turn of the event loop
   * @param begin begins a request; returns whether it could still be served
   */
  public static <T> TurnLine<T> create(
      InstantSource clock, Executor eventLoop, Predicate<T> begin) {
    return new TurnLine<>(clock, eventLoop, begin);
  }

  /** Begins the request now, or as soon as its turn comes. */
  public void enter(T request) {
    line.addLast(new Entry<>(request, clock.instant()));
    beginOne();
  }

  /** Returns how many requests wait. */
  public int waiting() {
    return line.size();
  }

  private void beginOne() {
    if (turnTaken) {
      return;
    }
    while (!line.isEmpty()) {
      // Taken before it begins, because what it does may enter another one.
      turnTaken = true;
      if (begin.test(next())) {
        eventLoop.execute(this::turn);
        return;
      }
      turnTaken = false;
    }
  }

  private void turn() {
    turnTaken = false;
    beginOne();
  }

  private T next() {
    Duration oldest = Duration.between(line.peekFirst().since(), clock.instant());
    boolean choked = oldest.compareTo(CHOKED_AFTER) > 0;
    return choked ? line.removeLast().request() : line.removeFirst().request();
  }
}
