// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import org.oatlug.internal.gather.SeenSession;
import org.oatlug.internal.util.BoundedMap;

/**
 * The versions on which sessions were seen, by service, and which of them the other instances are
 * to be told of: those that a roll-out would move at once if nothing were known of them.
 *
 * <p>They are told whether a roll-out runs or not, because a session that was seen before an order
 * is not to move by it either. Invariant: a session is told once in the longest pause of a session,
 * and again when its version changes, so that it is known elsewhere for as long as it lasts. Owned
 * by one event loop, not thread-safe.
 */
final class KeptSessions {
  /** Sessions of the longest pause at the busiest instance of the design size. */
  private static final int MOST_TOLD = 4096;

  private final Duration pause;
  private final LongPredicate movesAtOnce;
  private final Map<String, SessionVersions> byService = new HashMap<>();
  private final Map<Sighting, Instant> toldAt = BoundedMap.ofMost(MOST_TOLD);
  private final Map<Sighting, Instant> untold = new LinkedHashMap<>();

  private record Sighting(String service, long session, String version) {}

  private KeptSessions(Duration pause, LongPredicate movesAtOnce) {
    this.pause = pause;
    this.movesAtOnce = movesAtOnce;
  }

  /**
   * Returns an empty table for sessions whose requests follow each other within the pause.
   *
   * @param movesAtOnce whether a roll-out gives a session to the new version from its order on
   */
  static KeptSessions withPause(Duration pause, LongPredicate movesAtOnce) {
    return new KeptSessions(pause, movesAtOnce);
  }

  /** Returns the sessions of a service. */
  SessionVersions of(String service) {
    return byService.computeIfAbsent(service, unused -> SessionVersions.withPause(pause));
  }

  /** Notes that this instance sent a request of the session to the version. */
  void seen(String service, long session, String version, Instant now) {
    of(service).seen(session, version, now);
    if (movesAtOnce.test(session)) {
      noteUntold(new Sighting(service, session, version), now);
    }
  }

  private void noteUntold(Sighting sighting, Instant now) {
    Instant again = toldAt.getOrDefault(sighting, Instant.EPOCH).plus(pause);
    if (!now.isBefore(again) || untold.containsKey(sighting)) {
      toldAt.put(sighting, now);
      untold.put(sighting, now);
    }
  }

  /** Takes in a session that another instance has seen. */
  void heard(SeenSession session, Instant now) {
    of(session.service()).heard(session.session(), session.version(), session.seenAt(now));
  }

  /** Returns the sessions that others are to be told of, and counts them as told. */
  List<SeenSession> toTell(Instant now) {
    List<SeenSession> found = new ArrayList<>();
    untold.forEach(
        (one, at) ->
            found.add(SeenSession.at(one.service(), one.session(), one.version(), at, now)));
    untold.clear();
    return found;
  }

  /**
   * Returns all sessions that others have to know of.
   *
   * @param which which of them, by where they were seen
   */
  List<SeenSession> all(Instant now, Predicate<SessionVersions.Seen> which) {
    List<SeenSession> found = new ArrayList<>();
    byService.forEach(
        (service, sessions) ->
            sessions.forEachKnown(
                now,
                (session, seen) -> {
                  if (movesAtOnce.test(session) && which.test(seen)) {
                    found.add(SeenSession.at(service, session, seen.version(), seen.at(), now));
                  }
                }));
    return found;
  }
}
