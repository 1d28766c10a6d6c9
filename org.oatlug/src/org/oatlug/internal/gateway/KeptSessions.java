// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import org.oatlug.internal.gather.KeptSession;
import org.oatlug.internal.util.BoundedMap;

/**
 * The versions on which sessions were seen, by service, and which of them the other instances are
 * to be told of: those that stay on the old version although their share would move them.
 *
 * <p>Invariant: a session is told once in the longest pause of a session, so that it is known
 * elsewhere for as long as it lasts. Owned by one event loop, not thread-safe.
 */
final class KeptSessions {
  /** Stands for the old version of a session that another instance keeps on it. */
  private static final String KEPT_ELSEWHERE = "";

  /** Sessions of the longest pause at the busiest instance of the design size. */
  private static final int MOST_TOLD = 4096;

  private final Duration pause;
  private final Map<String, SessionVersions> byService = new HashMap<>();
  private final Map<KeptSession, Instant> toldAt = BoundedMap.ofMost(MOST_TOLD);

  private KeptSessions(Duration pause) {
    this.pause = pause;
  }

  /** Returns an empty table for sessions whose requests follow each other within the pause. */
  static KeptSessions withPause(Duration pause) {
    return new KeptSessions(pause);
  }

  /** Returns the sessions of a service. */
  SessionVersions of(String service) {
    return byService.computeIfAbsent(service, unused -> SessionVersions.withPause(pause));
  }

  /** Takes in a session that another instance keeps on the old version. */
  void heard(KeptSession session, Instant now) {
    of(session.service()).heard(session.session(), KEPT_ELSEWHERE, now);
  }

  /**
   * Returns the sessions of a service that others are to be told of, and counts them as told.
   *
   * @param version the new version
   * @param since from when on they were seen
   * @param wouldMove whether a session's share would move it to the new version
   */
  List<KeptSession> toTell(
      String service, String version, Instant since, LongPredicate wouldMove, Instant now) {
    List<KeptSession> found = new ArrayList<>();
    for (long session : of(service).seenOnOthers(version, since)) {
      KeptSession kept = new KeptSession(service, session);
      if (wouldMove.test(session) && !isToldLately(kept, now)) {
        toldAt.put(kept, now);
        found.add(kept);
      }
    }
    return found;
  }

  private boolean isToldLately(KeptSession session, Instant now) {
    return now.isBefore(toldAt.getOrDefault(session, Instant.EPOCH).plus(pause));
  }
}
