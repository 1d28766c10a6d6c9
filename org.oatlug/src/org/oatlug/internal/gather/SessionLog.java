// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The sessions that a collector was told of, in the order in which it learned of them.
 *
 * <p>Who reads it goes on from where it stopped, so each session is told once to each reader.
 * Invariant: numbers rise by one with each session, from 1; the oldest are dropped first. Owned by
 * one event loop, not thread-safe.
 */
final class SessionLog {
  /** Sessions that begin in some ten seconds at a zone of the design size. */
  private static final int MOST = 4096;

  /** The most that one answer carries; the rest follows with the next. */
  private static final int MOST_READ = 512;

  private final Deque<Entry> entries = new ArrayDeque<>();
  private long last;

  private record Entry(long number, KeptSession session, boolean ofOwnZone) {}

  /**
   * What was read.
   *
   * @param sessions the sessions
   * @param upTo the number from which to go on
   */
  record Part(List<KeptSession> sessions, long upTo) {}

  private SessionLog() {}

  /** Returns an empty log. */
  static SessionLog create() {
    return new SessionLog();
  }

  /** Adds sessions that an instance of the own zone, or another zone, told of. */
  void add(List<KeptSession> sessions, boolean ofOwnZone) {
    for (KeptSession session : sessions) {
      entries.addLast(new Entry(++last, session, ofOwnZone));
      if (entries.size() > MOST) {
        entries.removeFirst();
      }
    }
  }

  /** Returns the sessions after a number. */
  Part after(long number) {
    return read(number, false);
  }

  /** Returns the sessions after a number that the own zone told of. */
  Part ofOwnZoneAfter(long number) {
    return read(number, true);
  }

  private Part read(long number, boolean ofOwnZoneOnly) {
    List<KeptSession> found = new ArrayList<>();
    long upTo = Math.min(number, last);
    for (Entry entry : entries) {
      if (found.size() >= MOST_READ) {
        break;
      }
      if (entry.number() > number) {
        upTo = entry.number();
        if (entry.ofOwnZone() || !ofOwnZoneOnly) {
          found.add(entry.session());
        }
      }
    }
    return new Part(found, upTo);
  }
}
