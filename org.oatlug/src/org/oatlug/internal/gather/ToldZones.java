// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oatlug.internal.peer.Member;

/**
 * What a collector has told the other availability zones, and what it is due to tell them.
 *
 * <p>Load pattern: the account of a zone changes with each request, and bytes between zones have a
 * price. Invariants: a zone is told at most once a pause, but for evidence against a version, which
 * goes at once; nothing is told that a zone was told already and still counts. Owned by one event
 * loop, not thread-safe.
 */
final class ToldZones {
  /** The pause between two messages to a zone, because bytes between zones have a price. */
  private static final Duration PAUSE = Duration.ofMillis(300);

  private final SessionLog sessions;
  private final Map<String, Told> byZone = new HashMap<>();

  /**
   * What a zone was told last.
   *
   * @param process the collector that was told; another one begins with all sessions
   * @param account the account
   * @param at when it was told
   * @param allUpTo up to which number it is told of the sessions of all zones: what its own zone
   *     had seen may be known nowhere else after a restart of that zone
   * @param sessionsUpTo up to which number it has been told of sessions
   * @param sessionsBefore up to which number it had been told of sessions before that
   */
  private record Told(
      String process,
      Account account,
      Instant at,
      long allUpTo,
      long sessionsUpTo,
      long sessionsBefore) {
    Told next(Account own, Instant now, long upTo) {
      return new Told(process, own, now, allUpTo, upTo, sessionsUpTo);
    }

    Told lost(Instant now) {
      return new Told(process, Account.EMPTY, now, allUpTo, sessionsBefore, sessionsBefore);
    }
  }

  /**
   * What a zone is to be told.
   *
   * @param account the account of the own zone
   * @param seen the sessions that it has not been told of
   */
  record News(Account account, List<SeenSession> seen) {}

  private ToldZones(SessionLog sessions) {
    this.sessions = sessions;
  }

  /** Returns zones that were told nothing yet. */
  static ToldZones create(SessionLog sessions) {
    return new ToldZones(sessions);
  }

  /**
   * Returns what the zone is to be told now, and counts it as told; empty if nothing is due.
   *
   * @param pressing whether something else waits that has to be told at once
   */
  Optional<News> newsFor(Member collector, Account own, boolean pressing, Instant now) {
    Told before = toldTo(collector);
    SessionLog.Part part = unreadBy(before, now);
    boolean isNew = !part.sessions().isEmpty() || !own.saysTheSameAs(before.account());
    if (!pressing && !isUrgent(before, own) && !isDue(before, own, isNew, now)) {
      return Optional.empty();
    }
    byZone.put(collector.zone(), before.next(own, now, part.upTo()));
    return Optional.of(new News(own, part.sessions()));
  }

  private Told toldTo(Member collector) {
    return Optional.ofNullable(byZone.get(collector.zone()))
        .filter(told -> told.process().equals(collector.process()))
        .orElseGet(() -> nothingTo(collector));
  }

  private Told nothingTo(Member collector) {
    return new Told(collector.process(), Account.EMPTY, Instant.EPOCH, sessions.last(), 0, 0);
  }

  private SessionLog.Part unreadBy(Told before, Instant now) {
    long from = before.sessionsUpTo();
    return from < before.allUpTo() ? sessions.after(from, now) : sessions.ofOwnZoneAfter(from, now);
  }

  private static boolean isUrgent(Told before, Account own) {
    return own.worsePairs() > before.account().worsePairs()
        || own.refuted() > before.account().refuted();
  }

  private static boolean isDue(Told before, Account own, boolean isNew, Instant now) {
    Duration since = Duration.between(before.at(), now);
    boolean fades = !own.openMillis().isEmpty() && since.compareTo(Accounts.REFRESH) >= 0;
    return since.compareTo(PAUSE) >= 0 && (isNew || fades);
  }

  /** Notes that the zone did not get its last message; the next one tells it again. */
  void lost(Member collector, Instant now) {
    byZone.put(collector.zone(), toldTo(collector).lost(now));
  }
}
