// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;

/**
 * Requests that wait at this instance until an upstream has a place.
 *
 * <p>A request waits here and not at an upstream, so that it takes the first place that becomes
 * free anywhere, and where it goes is decided anew then. Higher priority goes first, then earlier
 * arrival; a target without a place does not hold up the others. Invariant: a request whose
 * predicted wait exceeds its deadline is not let in, and one whose deadline passed is refused at
 * once. Owned by one event loop, not thread-safe.
 */
public final class WaitingLine {
  private static final double SMOOTHING = 0.05;
  private static final double SHARE_FOR_WAITING = 0.5;
  private static final double NANOS_PER_SECOND = 1e9;

  private final TreeSet<Waiter> waiters =
      new TreeSet<>(
          Comparator.comparingInt((Waiter waiter) -> waiter.request().priority())
              .reversed()
              .thenComparingLong(Waiter::number));
  private double meanGapSeconds;
  private Instant lastFreed = Instant.EPOCH;
  private long entered;

  private WaitingLine() {}

  /** Returns an empty line. */
  public static WaitingLine create() {
    return new WaitingLine();
  }

  /**
   * A request that may wait.
   *
   * @param target what it asks for
   * @param priority from 0 to 9
   * @param deadline when waiting is of no use any more
   * @param proceed tries to find a place, and returns whether the request needs to wait no more
   * @param giveUp refuses the request
   */
  public record Waiting(
      String target, int priority, Instant deadline, BooleanSupplier proceed, Runnable giveUp) {}

  private record Waiter(Waiting request, long number, Instant last) {}

  /** Lets a request in and returns empty, or returns when it is worth to come back. */
  public Optional<Duration> enter(Waiting request, Instant now) {
    Duration wait = predictedWait(request);
    long leftMillis = Duration.between(now, request.deadline()).toMillis();
    Instant last = now.plusMillis((long) (leftMillis * SHARE_FOR_WAITING));
    if (now.plus(wait).isAfter(last)) {
      return Optional.of(wait);
    }
    waiters.add(new Waiter(request, ++entered, last));
    return Optional.empty();
  }

  /** Counts that one of this instance's requests has left an upstream. */
  public void freed(Instant now) {
    if (!lastFreed.equals(Instant.EPOCH)) {
      double gap = Duration.between(lastFreed, now).toNanos() / NANOS_PER_SECOND;
      meanGapSeconds += SMOOTHING * (gap - meanGapSeconds);
    }
    lastFreed = now;
  }

  /** Refuses those whose deadline passed and lets the others try to find a place. */
  public void serve(Instant now) {
    Set<String> withoutPlace = new HashSet<>();
    for (Waiter waiter : List.copyOf(waiters)) {
      Waiting request = waiter.request();
      if (!now.isBefore(waiter.last())) {
        waiters.remove(waiter);
        request.giveUp().run();
      } else if (!withoutPlace.contains(request.target())) {
        tryOne(waiter, withoutPlace);
      }
    }
  }

  private void tryOne(Waiter waiter, Set<String> withoutPlace) {
    if (waiter.request().proceed().getAsBoolean()) {
      waiters.remove(waiter);
    } else {
      withoutPlace.add(waiter.request().target());
    }
  }

  /** Returns the number of requests that wait. */
  public int size() {
    return waiters.size();
  }

  private Duration predictedWait(Waiting request) {
    long ahead =
        waiters.stream()
            .filter(waiter -> waiter.request().target().equals(request.target()))
            .filter(waiter -> waiter.request().priority() >= request.priority())
            .count();
    return Duration.ofNanos((long) ((ahead + 1) * meanGapSeconds * NANOS_PER_SECOND));
  }
}
