// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The sessions that a collector was told of, in the order in which it learned of them.
 *
 * <p>Who reads it goes on from where it stopped, so each session is told once to each reader, and
 * one who begins at 0 gets all. Invariants: numbers rise by one with each session, from 1; a
 * session stands in it once, as it was told last; the oldest are dropped first. Owned by one event
 * loop, not thread-safe.
 */
final class SessionLog {
  /** Sessions of {@link #VALID} at a zone of the design size, of which one in ten is told. */
  private static final int MOST = 8192;

  /** The most that one answer carries; the rest follows with the next. */
  private static final int MOST_READ = 512;

  /** A session that goes on is told anew long before this. */
  private static final Duration VALID = Duration.ofSeconds(30);

  private final LinkedHashMap<Key, Entry> entries = new LinkedHashMap<>();
  private long last;

  private record Key(String service, long session) {}

  private record Entry(long number, String version, Instant seenAt, boolean ofOwnZone) {}

  /**
   * What was read.
   *
   * @param sessions the sessions
   * @param upTo the number from which to go on
   */
  record Part(List<SeenSession> sessions, long upTo) {}

  private SessionLog() {}

  /** Returns an empty log. */
  static SessionLog create() {
    return new SessionLog();
  }

  /** Adds sessions that an instance of the own zone, or another zone, told of. */
  void add(List<SeenSession> sessions, boolean ofOwnZone, Instant now) {
    for (SeenSession session : sessions) {
      if (session.isSound()) {
        add(session, ofOwnZone, now);
      }
    }
    dropOld(now);
  }

  private void add(SeenSession session, boolean ofOwnZone, Instant now) {
    Key key = new Key(session.service(), session.session());
    Instant seenAt = session.seenAt(now);
    Entry known = entries.get(key);
    if (known != null && known.seenAt().isAfter(seenAt)) {
      return;
    }
    entries.remove(key);
    entries.put(key, new Entry(++last, session.version(), seenAt, ofOwnZone));
  }

  private void dropOld(Instant now) {
    Instant least = now.minus(VALID);
    var oldest = entries.values().iterator();
    while (oldest.hasNext()) {
      boolean tooMany = entries.size() > MOST;
      if (!tooMany && !oldest.next().seenAt().isBefore(least)) {
        return;
      }
      if (tooMany) {
        oldest.next();
      }
      oldest.remove();
    }
  }

  /** Returns the number of the session that was told last. */
  long last() {
    return last;
  }

  /** Returns the sessions after a number. */
  Part after(long number, Instant now) {
    return read(number, false, now);
  }

  /** Returns the sessions after a number that the own zone told of. */
  Part ofOwnZoneAfter(long number, Instant now) {
    return read(number, true, now);
  }

  private Part read(long number, boolean ofOwnZoneOnly, Instant now) {
    List<SeenSession> found = new ArrayList<>();
    long upTo = Math.min(number, last);
    for (Map.Entry<Key, Entry> one : entries.entrySet()) {
      if (found.size() >= MOST_READ) {
        break;
      }
      Entry entry = one.getValue();
      if (entry.number() > number) {
        upTo = entry.number();
        if (entry.ofOwnZone() || !ofOwnZoneOnly) {
          found.add(sessionOf(one.getKey(), entry, now));
        }
      }
    }
    return new Part(found, upTo);
  }

  private static SeenSession sessionOf(Key key, Entry entry, Instant now) {
    return SeenSession.at(key.service(), key.session(), entry.version(), entry.seenAt(), now);
  }
}
