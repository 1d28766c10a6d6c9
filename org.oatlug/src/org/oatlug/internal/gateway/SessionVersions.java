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
 * Maps each session of a service to the version that it used last.
 *
 * <p>Invariants: an expired entry is not returned; the table is bounded and evicts the least
 * recently used sessions. Owned by one event loop, not thread-safe.
 */
final class SessionVersions {
  /** Enough for the sessions of 2 minutes at the busiest instance of the design size. */
  private static final int MAXIMUM_SESSIONS = 20_000;

  /**
   * The retention as a multiple of the session pause; answers may end long after their request was
   * recorded.
   */
  private static final int RETENTION_PAUSES = 4;

  private final Duration retention;
  private final Map<Long, Observation> sessions =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Observation> eldest) {
          return size() > MAXIMUM_SESSIONS;
        }
      };

  /**
   * The last request of a session.
   *
   * @param version the version that it was sent to
   * @param at when it was sent, by the clock of this instance
   * @param isLocal whether this instance sent it
   */
  record Observation(String version, Instant at, boolean isLocal) {}

  private SessionVersions(Duration retention) {
    this.retention = retention;
  }

  /** Returns an empty table for sessions with at most this pause between their requests. */
  static SessionVersions withPause(Duration pause) {
    return new SessionVersions(pause.multipliedBy(RETENTION_PAUSES));
  }

  /**
   * Returns the hash that identifies the session of a request: that of the session that it names,
   * or of the last part of its prompt, which only requests of the same session share; empty if it
   * has neither.
   */
  static OptionalLong sessionHash(RequestHead head) {
    if (head.session().isPresent()) {
      return OptionalLong.of(Hashes.hash64(head.session().get()));
    }
    List<PromptPart> parts = head.generation().map(Generation::prompt).orElse(List.of());
    if (parts.isEmpty()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(parts.get(parts.size() - 1).hash());
  }

  /** Records that this instance sent a request of the session to the version. */
  void recordLocal(long session, String version, Instant now) {
    sessions.put(session, new Observation(version, now, true));
  }

  /**
   * Records that another instance sent a request of the session to the version; the latest wins.
   */
  void recordRemote(long session, String version, Instant seenAt) {
    Observation previous = sessions.get(session);
    if (previous == null || previous.at().isBefore(seenAt)) {
      sessions.put(session, new Observation(version, seenAt, false));
    }
  }

  /** Returns the version that the session used last, empty if unknown or expired. */
  Optional<String> lastVersion(long session, Instant now) {
    return lastObservation(session, now).map(Observation::version);
  }

  /** Returns the last request of the session, empty if unknown or expired. */
  Optional<Observation> lastObservation(long session, Instant now) {
    return Optional.ofNullable(sessions.get(session))
        .filter(observation -> !now.isAfter(observation.at().plus(retention)));
  }

  /** Passes each unexpired session and its last request to the action. */
  void forEachUnexpired(Instant now, BiConsumer<Long, Observation> action) {
    Instant oldest = now.minus(retention);
    sessions.forEach(
        (session, observation) -> {
          if (!observation.at().isBefore(oldest)) {
            action.accept(session, observation);
          }
        });
  }
}
