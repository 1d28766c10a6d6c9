// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The sessions that an instance has not yet told its collector, in the order in which it saw them.
 *
 * <p>Invariant: a session stays until a collector has answered the message that holds it, or until
 * too many wait, when the oldest go. Owned by one event loop, not thread-safe.
 */
final class UntoldSessions {
  /** Sessions of the longest pause of a session at the busiest instance of the design size. */
  private static final int MOST = 4096;

  /** The most that one message carries; the rest follows with the next. */
  private static final int MOST_SENT = 1024;

  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private long last;

  /** A session, its number in the order, and by which moment its age is counted. */
  private record Waiting(long number, SeenSession session, Instant toldAt) {
    SeenSession asOf(Instant now) {
      return SeenSession.at(
          session.service(), session.session(), session.version(), session.seenAt(toldAt), now);
    }
  }

  /**
   * What one message holds.
   *
   * @param sessions the sessions, with their ages at its sending
   * @param upTo the number of the last of them
   */
  record Sent(List<SeenSession> sessions, long upTo) {}

  private UntoldSessions() {}

  /** Returns an empty list. */
  static UntoldSessions create() {
    return new UntoldSessions();
  }

  /** Adds sessions whose ages are counted by now. */
  void add(List<SeenSession> sessions, Instant now) {
    sessions.forEach(session -> waiting.addLast(new Waiting(++last, session, now)));
    while (waiting.size() > MOST) {
      waiting.removeFirst();
    }
  }

  /** Returns what the next message holds. */
  Sent sent(Instant now) {
    List<SeenSession> sessions = new ArrayList<>();
    long upTo = 0;
    for (Waiting one : waiting) {
      if (sessions.size() >= MOST_SENT) {
        break;
      }
      sessions.add(one.asOf(now));
      upTo = one.number();
    }
    return new Sent(sessions, upTo);
  }

  /** Notes that a message was answered. */
  void told(Sent sent) {
    while (!waiting.isEmpty() && waiting.peekFirst().number() <= sent.upTo()) {
      waiting.removeFirst();
    }
  }

  /** Returns whether nothing waits. */
  boolean isEmpty() {
    return waiting.isEmpty();
  }
}
