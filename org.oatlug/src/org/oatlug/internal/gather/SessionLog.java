// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

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

  private final NavigableMap<Long, Entry> entries = new TreeMap<>();
  private final Map<Key, Long> numbers = new HashMap<>();
  private long last;

  private record Key(String service, long session) {}

  private record Entry(Key key, String version, Instant seenAt, boolean ofOwnZone) {
    SeenSession asOf(Instant now) {
      return SeenSession.at(key.service(), key.session(), version, seenAt, now);
    }
  }

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
    Entry told = new Entry(key, session.version(), session.seenAt(now), ofOwnZone);
    Optional<Long> known = Optional.ofNullable(numbers.get(key));
    if (known.map(entries::get).filter(one -> one.seenAt().isAfter(told.seenAt())).isPresent()) {
      return;
    }
    known.ifPresent(entries::remove);
    entries.put(++last, told);
    numbers.put(key, last);
  }

  private void dropOld(Instant now) {
    Instant least = now.minus(VALID);
    while (!entries.isEmpty()) {
      Entry oldest = entries.firstEntry().getValue();
      if (entries.size() <= MOST && !oldest.seenAt().isBefore(least)) {
        return;
      }
      entries.pollFirstEntry();
      numbers.remove(oldest.key());
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
    for (Map.Entry<Long, Entry> one : entries.tailMap(number, false).entrySet()) {
      if (found.size() >= MOST_READ) {
        break;
      }
      upTo = one.getKey();
      if (one.getValue().ofOwnZone() || !ofOwnZoneOnly) {
        found.add(one.getValue().asOf(now));
      }
    }
    return new Part(found, upTo);
  }
}
