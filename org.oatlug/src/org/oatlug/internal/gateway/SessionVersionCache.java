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
import org.oatlug.internal.gather.SessionObservation;
import org.oatlug.internal.util.BoundedMap;

/**
 * Tracks the versions of sessions by service, and which sessions to replicate to other instances.
 *
 * <p>Replicated are the sessions that a roll-out would move immediately if they were unknown. They
 * are replicated whether a roll-out runs or not, because a session that started before an order
 * must keep its version, too. Invariant: a session is replicated once per session pause, and again
 * when its version changes, so that it stays known to other instances for as long as it lasts.
 * Owned by one event loop, not thread-safe.
 */
final class SessionVersionCache {
  /** Enough for the sessions of one session pause at the busiest instance of the design size. */
  private static final int MAXIMUM_REPLICATED = 4096;

  private final Duration pause;
  private final LongPredicate movesImmediately;
  private final Map<String, SessionVersions> byService = new HashMap<>();
  private final Map<SessionKey, Instant> replicatedAt =
      BoundedMap.withMaximumSize(MAXIMUM_REPLICATED);
  private final Map<SessionKey, Instant> pending = new LinkedHashMap<>();

  private record SessionKey(String service, long session, String version) {}

  private SessionVersionCache(Duration pause, LongPredicate movesImmediately) {
    this.pause = pause;
    this.movesImmediately = movesImmediately;
  }

  /**
   * Returns an empty cache for sessions with at most this pause between their requests.
   *
   * @param movesImmediately whether a roll-out moves the session, if unknown, to the new version
   *     from its order on
   */
  static SessionVersionCache withPause(Duration pause, LongPredicate movesImmediately) {
    return new SessionVersionCache(pause, movesImmediately);
  }

  /** Returns the session table of a service. */
  SessionVersions of(String service) {
    return byService.computeIfAbsent(service, unused -> SessionVersions.withPause(pause));
  }

  /** Records that this instance sent a request of the session to the version. */
  void recordLocal(String service, long session, String version, Instant now) {
    of(service).recordLocal(session, version, now);
    if (movesImmediately.test(session)) {
      enqueue(new SessionKey(service, session, version), now);
    }
  }

  private void enqueue(SessionKey key, Instant now) {
    Instant nextReplication = replicatedAt.getOrDefault(key, Instant.EPOCH).plus(pause);
    if (!now.isBefore(nextReplication) || pending.containsKey(key)) {
      replicatedAt.put(key, now);
      pending.put(key, now);
    }
  }

  /** Records a session that another instance has seen. */
  void recordRemote(SessionObservation session, Instant now) {
    of(session.service()).recordRemote(session.session(), session.version(), session.seenAt(now));
  }

  /** Returns the sessions that are pending replication and clears them. */
  List<SessionObservation> drainPending(Instant now) {
    List<SessionObservation> drained = new ArrayList<>();
    pending.forEach(
        (key, at) ->
            drained.add(
                SessionObservation.at(key.service(), key.session(), key.version(), at, now)));
    pending.clear();
    return drained;
  }

  /**
   * Returns all unexpired sessions to replicate whose last request matches the filter.
   *
   * @param filter the filter
   */
  List<SessionObservation> matching(Instant now, Predicate<SessionVersions.Observation> filter) {
    List<SessionObservation> matches = new ArrayList<>();
    byService.forEach(
        (service, sessions) ->
            sessions.forEachUnexpired(
                now,
                (session, observation) -> {
                  if (movesImmediately.test(session) && filter.test(observation)) {
                    matches.add(
                        SessionObservation.at(
                            service, session, observation.version(), observation.at(), now));
                  }
                }));
    return matches;
  }
}
