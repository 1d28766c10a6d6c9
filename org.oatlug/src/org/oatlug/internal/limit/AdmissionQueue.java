// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Queues requests at this instance until an upstream has room.
 *
 * <p>A request queues here rather than at an upstream, so that it takes the first room that becomes
 * free on any upstream and is routed only then. Requests are released in the order of {@link
 * Urgency#order}; a target without room does not block the others. Every eighth release of a target
 * goes to the request that has waited longest there, so that urgent requests cannot starve others.
 *
 * <p>Invariants: a request leaves the queue at its bound at the latest; it is not queued if its
 * predicted start is after its latest start; at most {@link #MAXIMUM_WAITING} requests wait for a
 * target, and the least urgent of them are refused first. Does no I/O and reads no clock. Owned by
 * one event loop, not thread-safe.
 */
public final class AdmissionQueue {
  /** The maximum number of requests that wait for a target. */
  static final int MAXIMUM_WAITING = 256;

  /** Every release of this number goes to the request that has waited longest. */
  static final int LONGEST_WAITING_PERIOD = 8;

  /** The weight of the latest interval in the mean interval between releases. */
  private static final double SMOOTHING = 0.05;

  private static final double NANOS_PER_SECOND = 1e9;

  private final List<Entry> entries = new ArrayList<>();
  private final Map<String, Releases> releases = new HashMap<>();
  private long lastNumber;

  private AdmissionQueue() {}

  /** Returns an empty queue. */
  public static AdmissionQueue create() {
    return new AdmissionQueue();
  }

  /**
   * A request that may be queued.
   *
   * @param target the target whose room the request needs
   * @param urgency the urgency of the request
   * @param bound the time until which it may wait
   * @param latestStart the latest start that is of use; it is not queued if it is predicted to
   *     start later
   * @param proceed tries to send the request; returns whether it leaves the queue
   * @param boundReached handles that it has waited until its bound; it has left the queue
   * @param displaced refuses it for a more urgent one, with the predicted wait; it has left the
   *     queue
   */
  public record QueuedRequest(
      String target,
      Urgency urgency,
      Instant bound,
      Instant latestStart,
      BooleanSupplier proceed,
      Runnable boundReached,
      Consumer<Duration> displaced) {}

  /** The reason why a request is not queued. */
  public enum RejectionReason {
    /** It is predicted to start too late. */
    LATE,
    /** The queue of its target is full of requests that are at least as urgent. */
    FULL
  }

  /**
   * A rejection of a request that is not queued.
   *
   * @param reason the reason
   * @param predictedWait the predicted wait, after which a retry is worthwhile
   */
  public record Rejection(RejectionReason reason, Duration predictedWait) {}

  private record Entry(QueuedRequest request, long number) {
    private String target() {
      return request.target();
    }

    private static Comparator<Entry> order(Instant now) {
      return Comparator.comparing((Entry entry) -> entry.request().urgency(), Urgency.order(now))
          .thenComparingLong(Entry::number);
    }
  }

  /** The releases of a target while requests wait for it. */
  private static final class Releases {
    private long count;
    private double meanIntervalSeconds;
    private Instant intervalStart = Instant.EPOCH;

    private void record(Instant now) {
      count++;
      double interval = Duration.between(intervalStart, now).toNanos() / NANOS_PER_SECOND;
      // The mean begins at zero: one long interval must not predict that all others are too late.
      meanIntervalSeconds += SMOOTHING * (interval - meanIntervalSeconds);
      intervalStart = now;
    }

    private boolean isTurnOfLongestWaiting() {
      return count % LONGEST_WAITING_PERIOD == LONGEST_WAITING_PERIOD - 1;
    }
  }

  /** Queues a request and returns empty, or returns why it is rejected. */
  public Optional<Rejection> enqueue(QueuedRequest request, Instant now) {
    Entry entry = new Entry(request, ++lastNumber);
    List<Entry> ofTarget = ofTarget(request.target());
    Duration wait = predictedWait(entry, ofTarget, now);
    // With an empty queue the request is the next one, whatever earlier intervals were.
    if (!ofTarget.isEmpty() && wait.compareTo(Duration.between(now, request.latestStart())) > 0) {
      return Optional.of(new Rejection(RejectionReason.LATE, wait));
    }
    if (ofTarget.size() >= MAXIMUM_WAITING) {
      // The requests of the lowest rank, of those the new ones, and the newest of those.
      Entry last =
          ofTarget.stream()
              .max(
                  Comparator.comparingInt((Entry other) -> other.request().urgency().rank())
                      .thenComparing(other -> !other.request().urgency().retry())
                      .thenComparingLong(Entry::number))
              .orElseThrow();
      if (!displaces(request.urgency(), last.request().urgency())) {
        return Optional.of(new Rejection(RejectionReason.FULL, wait));
      }
      entries.remove(last);
      last.request().displaced().accept(predictedWait(last, ofTarget, now));
    }
    if (ofTarget.isEmpty()) {
      releasesOf(request.target()).intervalStart = now;
    }
    entries.add(entry);
    return Optional.empty();
  }

  /** Returns whether a request takes the place of another one in a full queue. */
  private static boolean displaces(Urgency urgency, Urgency other) {
    return urgency.rank() < other.rank()
        || urgency.rank() == other.rank() && urgency.retry() && !other.retry();
  }

  /** Ends the wait of requests that have reached their bound, and tries to send the others. */
  public void serve(Instant now) {
    for (Entry entry : List.copyOf(entries)) {
      if (!now.isBefore(entry.request().bound()) && entries.remove(entry)) {
        // A time without room is no interval between releases.
        releasesOf(entry.target()).intervalStart = now;
        entry.request().boundReached().run();
      }
    }
    Set<String> fullTargets = new HashSet<>();
    for (Optional<Entry> next = next(fullTargets, now);
        next.isPresent();
        next = next(fullTargets, now)) {
      Entry entry = next.get();
      if (entry.request().proceed().getAsBoolean()) {
        if (entries.remove(entry)) {
          releasesOf(entry.target()).record(now);
        }
      } else {
        fullTargets.add(entry.target());
      }
    }
  }

  private Optional<Entry> next(Set<String> fullTargets, Instant now) {
    return entries.stream()
        .filter(entry -> !fullTargets.contains(entry.target()))
        .min(Entry.order(now))
        .map(first -> releasesOf(first.target()).isTurnOfLongestWaiting() ? longest(first) : first);
  }

  /** Returns the request that has waited longest for the target of another one. */
  private Entry longest(Entry other) {
    return ofTarget(other.target()).stream()
        .min(Comparator.comparingLong(Entry::number))
        .orElse(other);
  }

  /** Removes a request whose caller no longer needs it; returns whether it was queued. */
  public boolean remove(QueuedRequest request) {
    return entries.removeIf(entry -> entry.request() == request);
  }

  /** Ends the wait of all requests as if they had reached their bounds. */
  public void endAllWaits() {
    List<Entry> all = List.copyOf(entries);
    entries.clear();
    all.forEach(entry -> entry.request().boundReached().run());
  }

  /** Returns the number of queued requests. */
  public int size() {
    return entries.size();
  }

  /** Returns whether a request waits for the target. */
  public boolean isWaitedFor(String target) {
    return entries.stream().anyMatch(entry -> entry.target().equals(target));
  }

  /** Returns the position of a queued request in the queue of its target, from 1. */
  public int positionOf(QueuedRequest request, Instant now) {
    List<Entry> ordered = new ArrayList<>(ofTarget(request.target()));
    ordered.sort(Entry.order(now));
    return 1 + ordered.stream().map(Entry::request).toList().indexOf(request);
  }

  /** Returns the earliest bound of the queued requests, empty if there are none. */
  public Optional<Instant> earliestBound() {
    return entries.stream().map(entry -> entry.request().bound()).min(Comparator.naturalOrder());
  }

  private List<Entry> ofTarget(String target) {
    return entries.stream().filter(entry -> entry.target().equals(target)).toList();
  }

  private Releases releasesOf(String target) {
    return releases.computeIfAbsent(target, unused -> new Releases());
  }

  private Duration predictedWait(Entry entry, List<Entry> ofTarget, Instant now) {
    Comparator<Entry> order = Entry.order(now);
    long ahead = ofTarget.stream().filter(other -> order.compare(other, entry) < 0).count();
    double seconds = (ahead + 1) * releasesOf(entry.target()).meanIntervalSeconds;
    return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
  }
}
