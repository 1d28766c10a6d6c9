// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.PromptPart;
import org.oatlug.gateway.RequestHead;
import org.oatlug.internal.util.Hashes;

/**
 * The version of a service on which each session was seen last.
 *
 * <p>Invariant: an entry older than the longest pause of a session is not returned; the table holds
 * a bounded number of the sessions seen last. Owned by one event loop, not thread-safe.
 */
final class SessionVersions {
  /** Sessions of two minutes at the busiest instance of the design size. */
  private static final int MAXIMUM = 20_000;

  /** Answers may take long after the request that is seen here. */
  private static final int PAUSES_KEPT = 4;

  private final Duration kept;
  private final Map<Long, Seen> sessions =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Seen> eldest) {
          return size() > MAXIMUM;
        }
      };

  /**
   * Where a session was seen last.
   *
   * @param version the version
   * @param at when it was seen, or heard of
   * @param here whether it was seen by this instance
   */
  record Seen(String version, Instant at, boolean here) {}

  private SessionVersions(Duration kept) {
    this.kept = kept;
  }

  /** Returns an empty table for sessions whose requests follow each other within the pause. */
  static SessionVersions withPause(Duration pause) {
    return new SessionVersions(pause.multipliedBy(PAUSES_KEPT));
  }

  /**
   * Returns the number of the session of a request: the session that it names, or the last part of
   * its prompt, which only the session's own requests share; empty if there is neither.
   */
  static OptionalLong sessionOf(RequestHead head) {
    if (head.session().isPresent()) {
      return OptionalLong.of(Hashes.hash64(head.session().get()));
    }
    List<PromptPart> parts = head.generation().map(Generation::prompt).orElse(List.of());
    if (parts.isEmpty()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(parts.get(parts.size() - 1).hash());
  }

  /** Notes that the session was seen on the version. */
  void seen(long session, String version, Instant now) {
    sessions.put(session, new Seen(version, now, true));
  }

  /** Notes that another instance saw the session on the version; what was seen last counts. */
  void heard(long session, String version, Instant seenAt) {
    Seen known = sessions.get(session);
    if (known == null || known.at().isBefore(seenAt)) {
      sessions.put(session, new Seen(version, seenAt, false));
    }
  }

  /** Returns the version on which the session was seen last. */
  Optional<String> versionOf(long session, Instant now) {
    return lastOf(session, now).map(Seen::version);
  }

  /** Returns where the session was seen last. */
  Optional<Seen> lastOf(long session, Instant now) {
    return Optional.ofNullable(sessions.get(session))
        .filter(seen -> !now.isAfter(seen.at().plus(kept)));
  }

  /** Hands on each session that is known, with where it was seen last. */
  void forEachKnown(Instant now, BiConsumer<Long, Seen> action) {
    Instant least = now.minus(kept);
    sessions.forEach(
        (session, seen) -> {
          if (!seen.at().isBefore(least)) {
            action.accept(session, seen);
          }
        });
  }
}
