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
 * Logs the sessions that a collector received, in the order of their arrival.
 *
 * <p>A reader resumes after the last sequence number that it read, so each reader receives a
 * session once, and a reader that starts at 0 receives all. Invariants: sequence numbers start at 1
 * and increase by one with each session; a session has one entry, its latest; the oldest entries
 * are evicted first. Owned by one event loop, not thread-safe.
 */
final class SessionLog {
  /**
   * Bounds the sessions of one {@link #RETENTION} at a zone of the design size, one in ten of which
   * is replicated.
   */
  private static final int MAXIMUM_ENTRIES = 8192;

  /** The maximum number of sessions per response; later responses carry the rest. */
  private static final int MAXIMUM_READ = 512;

  /** The time after which an entry expires; an active session is reported again well before. */
  private static final Duration RETENTION = Duration.ofSeconds(30);

  private final NavigableMap<Long, Entry> entries = new TreeMap<>();
  private final Map<Key, Long> numberByKey = new HashMap<>();
  private long lastNumber;

  private record Key(String service, long session) {}

  private record Entry(Key key, String version, Instant seenAt, boolean ofOwnZone) {
    SessionObservation asOf(Instant now) {
      return SessionObservation.at(key.service(), key.session(), version, seenAt, now);
    }
  }

  /**
   * Holds the sessions of one read.
   *
   * @param sessions the sessions
   * @param upTo the sequence number after which the next read starts
   */
  record Batch(List<SessionObservation> sessions, long upTo) {}

  private SessionLog() {}

  /** Returns an empty log. */
  static SessionLog create() {
    return new SessionLog();
  }

  /** Adds sessions that an instance of this zone, or another zone, reported. */
  void add(List<SessionObservation> sessions, boolean ofOwnZone, Instant now) {
    for (SessionObservation session : sessions) {
      if (session.isValid()) {
        add(session, ofOwnZone, now);
      }
    }
    evict(now);
  }

  private void add(SessionObservation session, boolean ofOwnZone, Instant now) {
    Key key = new Key(session.service(), session.session());
    Entry entry = new Entry(key, session.version(), session.seenAt(now), ofOwnZone);
    Optional<Long> previous = Optional.ofNullable(numberByKey.get(key));
    if (previous
        .map(entries::get)
        .filter(logged -> logged.seenAt().isAfter(entry.seenAt()))
        .isPresent()) {
      return;
    }
    previous.ifPresent(entries::remove);
    entries.put(++lastNumber, entry);
    numberByKey.put(key, lastNumber);
  }

  private void evict(Instant now) {
    Instant earliest = now.minus(RETENTION);
    while (!entries.isEmpty()) {
      Entry oldest = entries.firstEntry().getValue();
      if (entries.size() <= MAXIMUM_ENTRIES && !oldest.seenAt().isBefore(earliest)) {
        return;
      }
      entries.pollFirstEntry();
      numberByKey.remove(oldest.key());
    }
  }

  /** Returns the sequence number of the latest entry. */
  long lastNumber() {
    return lastNumber;
  }

  /** Returns the sessions after a sequence number. */
  Batch after(long number, Instant now) {
    return read(number, false, now);
  }

  /** Returns the sessions after a sequence number that this zone reported. */
  Batch ofOwnZoneAfter(long number, Instant now) {
    return read(number, true, now);
  }

  private Batch read(long number, boolean ofOwnZoneOnly, Instant now) {
    List<SessionObservation> sessions = new ArrayList<>();
    long upTo = Math.min(number, lastNumber);
    for (Map.Entry<Long, Entry> entry : entries.tailMap(number, false).entrySet()) {
      if (sessions.size() >= MAXIMUM_READ) {
        break;
      }
      upTo = entry.getKey();
      if (entry.getValue().ofOwnZone() || !ofOwnZoneOnly) {
        sessions.add(entry.getValue().asOf(now));
      }
    }
    return new Batch(sessions, upTo);
  }
}
