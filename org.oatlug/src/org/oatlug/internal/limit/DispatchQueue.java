// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Queues requests until this instance starts to process them.
 *
 * <p>Load pattern: an instance that starts after a complete outage receives all requests that
 * callers sent meanwhile, and processes each in several steps of its event loop. If all started at
 * once, each step of a request would wait for a step of every other, and most callers would
 * disconnect before the first response. If one request starts per iteration of the loop, it
 * completes its steps without waiting for the others. Once the oldest request has waited too long,
 * the most urgent starts first if the requests have an order, otherwise the newest, so that
 * requests that can still meet their deadlines are not delayed by those that cannot. The limit
 * applies to starts per iteration, not to connections that are being opened, because a network
 * partition keeps connections in that state for as long as it lasts.
 *
 * <p>Invariants: at most one request starts per iteration of the event loop, which takes less than
 * a millisecond without overload; a request that can no longer be served uses no iteration. Owned
 * by one event loop, not thread-safe.
 *
 * @param <T> the type of requests
 */
public final class DispatchQueue<T> {
  /**
   * The wait from which the oldest no longer starts first: many iterations, and too long for short
   * latency targets.
   */
  private static final Duration OVERLOAD_WAIT = Duration.ofMillis(100);

  private final InstantSource clock;
  private final Executor eventLoop;
  private final Predicate<T> start;
  private final Supplier<Optional<Comparator<T>>> overloadOrder;
  private final Deque<Entry<T>> queue = new ArrayDeque<>();
  private boolean startedInIteration;

  private record Entry<T>(T request, Instant queuedAt) {}

  private DispatchQueue(
      InstantSource clock,
      Executor eventLoop,
      Predicate<T> start,
      Supplier<Optional<Comparator<T>>> overloadOrder) {
    this.clock = clock;
    this.eventLoop = eventLoop;
    this.start = start;
    this.overloadOrder = overloadOrder;
  }

  /**
   * Returns an empty queue.
   *
   * @param eventLoop runs an action in a later iteration of the event loop
   * @param start starts a request; returns whether it could still be served
   */
  public static <T> DispatchQueue<T> create(
      InstantSource clock, Executor eventLoop, Predicate<T> start) {
    return create(clock, eventLoop, start, Optional::empty);
  }

  /**
   * Returns an empty queue.
   *
   * @param eventLoop runs an action in a later iteration of the event loop
   * @param start starts a request; returns whether it could still be served
   * @param overloadOrder returns the order in which requests start once the queue is overloaded;
   *     empty to start the newest first
   */
  public static <T> DispatchQueue<T> create(
      InstantSource clock,
      Executor eventLoop,
      Predicate<T> start,
      Supplier<Optional<Comparator<T>>> overloadOrder) {
    return new DispatchQueue<>(clock, eventLoop, start, overloadOrder);
  }

  /** Starts the request now or, if another started in this iteration, queues it. */
  public void enqueue(T request) {
    queue.addLast(new Entry<>(request, clock.instant()));
    startNext();
  }

  /** Returns the number of queued requests. */
  public int size() {
    return queue.size();
  }

  /** Returns how long the oldest request has waited, zero if none is queued. */
  public Duration oldestWait() {
    return queue.isEmpty()
        ? Duration.ZERO
        : Duration.between(queue.peekFirst().queuedAt(), clock.instant());
  }

  private void startNext() {
    if (startedInIteration) {
      return;
    }
    while (!queue.isEmpty()) {
      // Set before the request starts, because starting it may enqueue another one.
      startedInIteration = true;
      boolean started = false;
      try {
        started = start.test(next());
      } finally {
        startedInIteration = started;
      }
      if (started) {
        eventLoop.execute(this::nextIteration);
        return;
      }
    }
  }

  private void nextIteration() {
    startedInIteration = false;
    startNext();
  }

  /** Returns whether the oldest request has waited too long. */
  public boolean isOverloaded() {
    return oldestWait().compareTo(OVERLOAD_WAIT) > 0;
  }

  private T next() {
    if (!isOverloaded()) {
      return queue.removeFirst().request();
    }
    Optional<Comparator<T>> order = overloadOrder.get();
    if (order.isEmpty()) {
      return queue.removeLast().request();
    }
    Entry<T> first =
        queue.stream().min(Comparator.comparing(Entry::request, order.get())).orElseThrow();
    queue.remove(first);
    return first.request();
  }
}
