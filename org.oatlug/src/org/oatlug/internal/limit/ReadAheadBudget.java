// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Limits the bytes of responses that an instance has read from upstreams and that callers have not
 * read yet, and selects the callers to disconnect; see docs/design/instance-overload.md.
 *
 * <p>A caller is stalled once it has read nothing for over two seconds while bytes wait for it.
 * Invariants: only a stalled caller is selected; one whose response is complete is selected only
 * under memory pressure or after its deadline. Bytes that were read from an upstream before it was
 * paused are held even if they exceed a limit, so each limit is exceeded by at most one read of an
 * upstream per response. Owned by one event loop, not thread-safe.
 *
 * @param <T> the type of responses
 */
public final class ReadAheadBudget<T> {
  /** The bytes of one response above which its upstream is paused. */
  public static final long MAXIMUM_RESPONSE_BYTES = 256 * 1024;

  /** The bytes of all responses: a quarter of the memory for bodies. */
  public static final long DEFAULT_MAXIMUM_BYTES = 6L * 1024 * 1024;

  /** The time without reading after which a response may be evicted under memory pressure. */
  private static final Duration STALLED_AFTER = Duration.ofSeconds(2);

  /** The minimum time without reading after which a caller is disconnected. */
  private static final Duration MINIMUM_STALL_TIMEOUT = Duration.ofSeconds(5);

  /** The time without reading after which a caller is disconnected, in goals of its route. */
  private static final int STALL_TIMEOUT_GOALS = 2;

  private final InstantSource clock;
  private final long maximumBytes;
  private final Map<T, Held> held = new LinkedHashMap<>();
  private long heldBytes;

  /**
   * The terms on which bytes of a response are held.
   *
   * @param goal the goal of its route
   * @param deadline the time by which its request is due
   */
  public record Terms(Duration goal, Instant deadline) {
    private Duration stallTimeout() {
      Duration ofGoal = goal.multipliedBy(STALL_TIMEOUT_GOALS);
      return ofGoal.compareTo(MINIMUM_STALL_TIMEOUT) > 0 ? ofGoal : MINIMUM_STALL_TIMEOUT;
    }
  }

  /** The bytes that wait for one caller. */
  private static final class Held {
    private final Terms terms;
    private long bytes;
    private Instant readAt;
    private boolean complete;
    private boolean reportedStalled;

    Held(Terms terms, Instant now) {
      this.terms = terms;
      this.readAt = now;
    }

    boolean isComplete() {
      return complete;
    }

    long bytes() {
      return bytes;
    }
  }

  private ReadAheadBudget(InstantSource clock, long maximumBytes) {
    this.clock = clock;
    this.maximumBytes = maximumBytes;
  }

  /** Returns a budget of the default size. */
  public static <T> ReadAheadBudget<T> create(InstantSource clock) {
    return new ReadAheadBudget<>(clock, DEFAULT_MAXIMUM_BYTES);
  }

  /** Holds bytes that were read from an upstream. */
  public void hold(T response, Terms terms, long bytes) {
    held.computeIfAbsent(response, unused -> new Held(terms, clock.instant())).bytes += bytes;
    heldBytes += bytes;
  }

  /** Records that bytes were passed to the caller, which is reading. */
  public void release(T response, long bytes) {
    Held entry = held.get(response);
    entry.bytes -= bytes;
    heldBytes -= bytes;
    entry.reportedStalled = false;
    entry.readAt = clock.instant();
    if (entry.bytes == 0) {
      held.remove(response);
    }
  }

  /** Records that the caller reads, although none of the held parts was passed on entirely. */
  public void recordReading(T response) {
    Held entry = held.get(response);
    if (entry != null) {
      entry.reportedStalled = false;
      entry.readAt = clock.instant();
    }
  }

  /** Records that all of the response was read from its upstream. */
  public void markComplete(T response) {
    Held entry = held.get(response);
    if (entry != null) {
      entry.complete = true;
    }
  }

  /** Drops all bytes of a response whose connection is closed; returns their number. */
  public long drop(T response) {
    Held entry = held.remove(response);
    if (entry == null) {
      return 0;
    }
    heldBytes -= entry.bytes;
    return entry.bytes;
  }

  /** Returns whether the limit of all responses is reached. */
  public boolean isFull() {
    return heldBytes >= maximumBytes;
  }

  /** Returns whether the upstream of the response must pause. */
  public boolean mustPause(T response) {
    Held entry = held.get(response);
    return entry != null && (entry.bytes >= MAXIMUM_RESPONSE_BYTES || isFull());
  }

  /** Returns whether a paused upstream of the response may continue. */
  public boolean mayContinue(T response) {
    Held entry = held.get(response);
    return entry == null || entry.bytes <= MAXIMUM_RESPONSE_BYTES / 2 && !isFull();
  }

  /** Returns whether the caller has read nothing for so long that its response may be evicted. */
  public boolean isStalled(T response) {
    Held entry = held.get(response);
    return entry != null && isStalled(entry);
  }

  private boolean isStalled(Held entry) {
    return unreadFor(entry).compareTo(STALLED_AFTER) > 0;
  }

  /** Returns the response to evict under memory pressure, empty if no caller is stalled. */
  public Optional<T> toEvict() {
    return select(this::isStalled);
  }

  /**
   * Returns a response whose caller is to be disconnected: it has read nothing for the larger of
   * five seconds and twice its goal, and either the response is incomplete and more than half of
   * the memory is used, or its deadline has passed.
   */
  public Optional<T> toDisconnect() {
    Instant now = clock.instant();
    boolean halfUsed = heldBytes > maximumBytes / 2;
    return select(
        entry ->
            unreadFor(entry).compareTo(entry.terms.stallTimeout()) > 0
                && (!entry.complete && halfUsed || now.isAfter(entry.terms.deadline())));
  }

  /** Selects an incomplete response before a complete one, then the one that holds most. */
  private Optional<T> select(Predicate<Held> condition) {
    return held.entrySet().stream()
        .filter(entry -> condition.test(entry.getValue()))
        .min(
            Map.Entry.comparingByValue(
                Comparator.comparing(Held::isComplete)
                    .thenComparing(Held::bytes, Comparator.reverseOrder())))
        .map(Map.Entry::getKey);
  }

  /** Returns the number of callers that have stalled since the last call. */
  public int takeNewlyStalled() {
    int count = 0;
    for (Held entry : held.values()) {
      if (!entry.reportedStalled && isStalled(entry)) {
        entry.reportedStalled = true;
        count++;
      }
    }
    return count;
  }

  /** Returns the time since the caller last read, zero if no bytes wait for it. */
  public Duration unreadFor(T response) {
    Held entry = held.get(response);
    return entry == null ? Duration.ZERO : unreadFor(entry);
  }

  private Duration unreadFor(Held entry) {
    return Duration.between(entry.readAt, clock.instant());
  }

  /** Returns the number of bytes that wait for the caller. */
  public long heldBytes(T response) {
    Held entry = held.get(response);
    return entry == null ? 0 : entry.bytes;
  }

  /** Returns the number of bytes that wait for all callers. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Returns the responses that hold bytes, those that began to hold them first. */
  public List<T> responses() {
    return new ArrayList<>(held.keySet());
  }
}
