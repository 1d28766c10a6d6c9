// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Queues the sessions that the collector has not acknowledged, in the order of observation.
 *
 * <p>Invariant: a session stays queued until a collector responds to the message that carries it,
 * or until the queue is full, when the oldest are evicted. Owned by one event loop, not
 * thread-safe.
 */
final class PendingSessions {
  /**
   * Bounds the sessions that the busiest instance of the design size observes within the longest
   * pause of a session.
   */
  private static final int MAXIMUM_PENDING = 4096;

  /** The maximum number of sessions per message; later messages carry the rest. */
  private static final int MAXIMUM_BATCH = 1024;

  private final Deque<Pending> queue = new ArrayDeque<>();
  private long lastNumber;

  /** A session, its sequence number, and the instant to which its age refers. */
  private record Pending(long number, SessionObservation session, Instant addedAt) {
    SessionObservation asOf(Instant now) {
      return SessionObservation.at(
          session.service(), session.session(), session.version(), session.seenAt(addedAt), now);
    }
  }

  /**
   * Holds the sessions of one message.
   *
   * @param sessions the sessions, with their ages at the time of sending
   * @param upTo the sequence number of the last session
   */
  record Batch(List<SessionObservation> sessions, long upTo) {}

  private PendingSessions() {}

  /** Returns an empty queue. */
  static PendingSessions create() {
    return new PendingSessions();
  }

  /** Adds sessions whose ages refer to {@code now}. */
  void add(List<SessionObservation> sessions, Instant now) {
    sessions.forEach(session -> queue.addLast(new Pending(++lastNumber, session, now)));
    while (queue.size() > MAXIMUM_PENDING) {
      queue.removeFirst();
    }
  }

  /** Returns the sessions of the next message, which stay queued. */
  Batch nextBatch(Instant now) {
    List<SessionObservation> sessions = new ArrayList<>();
    long upTo = 0;
    for (Pending next : queue) {
      if (sessions.size() >= MAXIMUM_BATCH) {
        break;
      }
      sessions.add(next.asOf(now));
      upTo = next.number();
    }
    return new Batch(sessions, upTo);
  }

  /** Removes the sessions of a message that the collector acknowledged. */
  void acknowledge(Batch batch) {
    while (!queue.isEmpty() && queue.peekFirst().number() <= batch.upTo()) {
      queue.removeFirst();
    }
  }

  /** Returns whether no session is queued. */
  boolean isEmpty() {
    return queue.isEmpty();
  }
}
