// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.oatlug.internal.util.BoundedMap;

/**
 * Remembers attempts that ended before their response was complete, for example because a larger
 * model was chosen instead. The upstream may go on for a while and crash, although no open attempt
 * of that request fails with it.
 *
 * <p>Invariants: an attempt is returned at most once; one after which the upstream responded to
 * another request is forgotten; at most {@link #MAXIMUM_ATTEMPTS} of each of the {@link
 * #MAXIMUM_PROCESSES} processes used most recently are kept. Owned by one event loop, not
 * thread-safe.
 */
public final class AbandonedAttempts {
  /** The time for which an upstream may work on an attempt after its connection was closed. */
  private static final Duration LINGERING = Duration.ofMillis(500);

  private static final int MAXIMUM_PROCESSES = 256;
  private static final int MAXIMUM_ATTEMPTS = 32;

  private final Map<String, Deque<Attempt>> attempts =
      BoundedMap.withMaximumSize(MAXIMUM_PROCESSES);

  /**
   * An abandoned attempt.
   *
   * @param parts the hashes of the shared parts of its prompt
   * @param startedAt when it started
   * @param abandonedAt when it was abandoned
   */
  public record Attempt(List<Long> parts, Instant startedAt, Instant abandonedAt) {}

  private AbandonedAttempts() {}

  /** Returns an empty memory. */
  public static AbandonedAttempts create() {
    return new AbandonedAttempts();
  }

  /** Adds an attempt that was abandoned at an upstream process. */
  public void add(String process, Attempt attempt) {
    Deque<Attempt> ofProcess = attempts.computeIfAbsent(process, unused -> new ArrayDeque<>());
    ofProcess.addLast(attempt);
    if (ofProcess.size() > MAXIMUM_ATTEMPTS) {
      ofProcess.removeFirst();
    }
  }

  /** Records that a process responded, so that the attempts abandoned well before did no harm. */
  public void recordResponse(String process, Instant now) {
    Deque<Attempt> ofProcess = attempts.get(process);
    if (ofProcess == null) {
      return;
    }
    Instant lingersSince = now.minus(LINGERING);
    Iterator<Attempt> oldestFirst = ofProcess.iterator();
    while (oldestFirst.hasNext() && oldestFirst.next().abandonedAt().isBefore(lingersSince)) {
      oldestFirst.remove();
    }
    if (ofProcess.isEmpty()) {
      attempts.remove(process);
    }
  }

  /** Returns whether the process may have crashed under an abandoned attempt. */
  public boolean mayHaveCrashed(String process) {
    return attempts.containsKey(process);
  }

  /** Returns and forgets the attempts that the process may still have run when it crashed. */
  public List<Attempt> takeAtCrash(String process, Instant crashedAt) {
    Deque<Attempt> ofProcess = attempts.remove(process);
    if (ofProcess == null) {
      return List.of();
    }
    Instant lingersSince = crashedAt.minus(LINGERING);
    return ofProcess.stream()
        .filter(attempt -> !attempt.abandonedAt().isBefore(lingersSince))
        .filter(attempt -> attempt.startedAt().isBefore(crashedAt))
        .toList();
  }

  /** Returns and forgets the attempts after which the crashed process never responded. */
  public List<Attempt> takeUnanswered(String process) {
    Deque<Attempt> ofProcess = attempts.remove(process);
    return ofProcess == null ? List.of() : List.copyOf(ofProcess);
  }
}
