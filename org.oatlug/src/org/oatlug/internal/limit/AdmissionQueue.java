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
 * Queues requests at this instance until an upstream has capacity.
 *
 * <p>A request queues here rather than at an upstream, so that it takes the first slot that becomes
 * free on any upstream and is routed only then. Higher priority goes first, then earlier arrival; a
 * target without capacity does not block the others. Invariant: a request may be queued for {@link
 * #QUEUE_TIME_SHARE} of the time to its deadline: it is refused at once if its predicted wait is
 * longer, and otherwise as soon as that time has passed. Owned by one event loop, not thread-safe.
 */
public final class AdmissionQueue {
  /** The weight of the latest interval in the mean interval between releases. */
  private static final double SMOOTHING = 0.05;

  /**
   * The share of the time to its deadline that a request may spend in the queue; the rest is left
   * to run it.
   */
  private static final double QUEUE_TIME_SHARE = 0.5;

  private static final double NANOS_PER_SECOND = 1e9;

  private final TreeSet<Entry> entries =
      new TreeSet<>(
          Comparator.comparingInt((Entry entry) -> entry.request().priority())
              .reversed()
              .thenComparingLong(Entry::number));
  private double meanReleaseIntervalSeconds;
  private Instant lastReleasedAt = Instant.EPOCH;
  private long lastNumber;

  private AdmissionQueue() {}

  /** Returns an empty queue. */
  public static AdmissionQueue create() {
    return new AdmissionQueue();
  }

  /**
   * A request that may be queued.
   *
   * @param target the target whose capacity the request needs
   * @param priority the priority from 0 to 9
   * @param deadline the deadline of the request
   * @param proceed tries to send the request; returns whether it leaves the queue
   * @param refuse refuses the request
   */
  public record QueuedRequest(
      String target, int priority, Instant deadline, BooleanSupplier proceed, Runnable refuse) {}

  private record Entry(QueuedRequest request, long number, Instant latestStart) {}

  /**
   * Queues a request and returns empty. If the predicted wait is too long, returns that wait, after
   * which a retry is worthwhile.
   */
  public Optional<Duration> enqueue(QueuedRequest request, Instant now) {
    Duration wait = predictedWait(request);
    long remainingMillis = Duration.between(now, request.deadline()).toMillis();
    Instant latestStart = now.plusMillis((long) (remainingMillis * QUEUE_TIME_SHARE));
    if (now.plus(wait).isAfter(latestStart)) {
      return Optional.of(wait);
    }
    entries.add(new Entry(request, ++lastNumber, latestStart));
    return Optional.empty();
  }

  /** Records that a request of this instance has released its slot at an upstream. */
  public void recordRelease(Instant now) {
    if (!lastReleasedAt.equals(Instant.EPOCH)) {
      double interval = Duration.between(lastReleasedAt, now).toNanos() / NANOS_PER_SECOND;
      meanReleaseIntervalSeconds += SMOOTHING * (interval - meanReleaseIntervalSeconds);
    }
    lastReleasedAt = now;
  }

  /** Refuses requests that were queued for too long and tries to send the others. */
  public void serve(Instant now) {
    Set<String> fullTargets = new HashSet<>();
    for (Entry entry : List.copyOf(entries)) {
      QueuedRequest request = entry.request();
      if (!now.isBefore(entry.latestStart())) {
        entries.remove(entry);
        request.refuse().run();
      } else if (!fullTargets.contains(request.target())) {
        tryToSend(entry, fullTargets);
      }
    }
  }

  private void tryToSend(Entry entry, Set<String> fullTargets) {
    if (entry.request().proceed().getAsBoolean()) {
      entries.remove(entry);
    } else {
      fullTargets.add(entry.request().target());
    }
  }

  /** Returns the number of queued requests. */
  public int size() {
    return entries.size();
  }

  private Duration predictedWait(QueuedRequest request) {
    long queuedAhead =
        entries.stream()
            .filter(entry -> entry.request().target().equals(request.target()))
            .filter(entry -> entry.request().priority() >= request.priority())
            .count();
    return Duration.ofNanos(
        (long) ((queuedAhead + 1) * meanReleaseIntervalSeconds * NANOS_PER_SECOND));
  }
}
