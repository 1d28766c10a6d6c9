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
 * Tracks what a collector has sent to the other availability zones and what is due.
 *
 * <p>Load pattern: the report of a zone changes with each request, and traffic between zones is
 * billed. Invariants: a zone receives at most one message per interval, except for evidence against
 * a version and crashes, which are sent at once; nothing is sent without a change, except that a
 * report with pending prompts or evidence is repeated before these expire; a session is sent to a
 * collector once, unless its message was lost. Owned by one event loop, not thread-safe.
 */
final class ZoneReplication {
  /** The minimum interval between messages to a zone, because traffic between zones is billed. */
  private static final Duration INTERVAL = Duration.ofMillis(300);

  private final SessionLog sessions;
  private final Map<String, Sent> byZone = new HashMap<>();

  /**
   * Holds the state of the last message to a zone.
   *
   * @param process the receiving collector; a new one receives all sessions
   * @param report the report that was sent
   * @param sentAt when it was sent
   * @param allZonesUpTo the sequence number up to which the sessions of all zones are sent: after a
   *     restart of the receiving zone, its own sessions may be stored nowhere else
   * @param sessionsUpTo the sequence number of the last session that was sent
   * @param previousUpTo the sequence number of the last session of the message before
   */
  private record Sent(
      String process,
      StateReport report,
      Instant sentAt,
      long allZonesUpTo,
      long sessionsUpTo,
      long previousUpTo) {
    Sent next(StateReport own, Instant now, long upTo) {
      return new Sent(process, own, now, allZonesUpTo, upTo, sessionsUpTo);
    }

    Sent lost(Instant now) {
      return new Sent(process, StateReport.EMPTY, now, allZonesUpTo, previousUpTo, previousUpTo);
    }
  }

  /**
   * Holds the content of the next message to a zone.
   *
   * @param report the report of this zone
   * @param sessions the sessions that were not yet sent
   */
  record Update(StateReport report, List<SessionObservation> sessions) {}

  private ZoneReplication(SessionLog sessions) {
    this.sessions = sessions;
  }

  /** Returns a state in which no zone has received a message. */
  static ZoneReplication create(SessionLog sessions) {
    return new ZoneReplication(sessions);
  }

  /**
   * Returns the update to send to the zone now and marks it as sent; empty if none is due.
   *
   * @param urgent whether content outside the report, such as crashes, has to be sent at once
   */
  Optional<Update> updateFor(Member collector, StateReport own, boolean urgent, Instant now) {
    Sent previous = lastSentTo(collector);
    SessionLog.Batch batch = unsentSessions(previous, now);
    boolean changed = !batch.sessions().isEmpty() || !own.equalsIgnoringAges(previous.report());
    if (!urgent && !hasNewEvidence(previous, own) && !isDue(previous, own, changed, now)) {
      return Optional.empty();
    }
    byZone.put(collector.zone(), previous.next(own, now, batch.upTo()));
    return Optional.of(new Update(own, batch.sessions()));
  }

  private Sent lastSentTo(Member collector) {
    return Optional.ofNullable(byZone.get(collector.zone()))
        .filter(sent -> sent.process().equals(collector.process()))
        .orElseGet(() -> emptyStateOf(collector));
  }

  private Sent emptyStateOf(Member collector) {
    return new Sent(
        collector.process(), StateReport.EMPTY, Instant.EPOCH, sessions.lastNumber(), 0, 0);
  }

  private SessionLog.Batch unsentSessions(Sent previous, Instant now) {
    long from = previous.sessionsUpTo();
    return from < previous.allZonesUpTo()
        ? sessions.after(from, now)
        : sessions.ofOwnZoneAfter(from, now);
  }

  private static boolean hasNewEvidence(Sent previous, StateReport own) {
    return own.worsePairs() > previous.report().worsePairs()
        || own.refuted() > previous.report().refuted();
  }

  private static boolean isDue(Sent previous, StateReport own, boolean changed, Instant now) {
    Duration elapsed = Duration.between(previous.sentAt(), now);
    boolean expiresSoon =
        !own.isIdle() && elapsed.compareTo(ReportAggregator.REFRESH_INTERVAL) >= 0;
    return elapsed.compareTo(INTERVAL) >= 0 && (changed || expiresSoon);
  }

  /** Records that the last message was lost, so that the next one repeats its content. */
  void lost(Member collector, Instant now) {
    byZone.put(collector.zone(), lastSentTo(collector).lost(now));
  }
}
