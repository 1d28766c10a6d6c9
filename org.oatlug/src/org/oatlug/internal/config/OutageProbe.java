// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits the retries of all watches of one instance during an outage of the platform.
 *
 * <p>An outage fails all kinds at once. If each watch retried on its own, every reader would make
 * eight calls a second for four kinds. Instead one watch probes the platform on behalf of all, and
 * all continue as soon as any call succeeds: {@code StoreOutageTest} counts 216 calls instead of
 * 486.
 *
 * <p>Invariant: attempts during an outage are at least {@link #RETRY_INTERVAL} apart, whichever
 * watch makes them. Owned by one event loop, not thread-safe.
 */
final class OutageProbe {
  /** Time between attempts, and so the maximum delay in detecting the end of an outage. */
  static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

  private Instant nextAttempt = Instant.EPOCH;
  private boolean available = true;

  private OutageProbe() {}

  /** Returns a probe of a platform that has not failed yet. */
  static OutageProbe create() {
    return new OutageProbe();
  }

  /** Records a successful call. */
  void recordSuccess() {
    available = true;
  }

  /** Records a failed call. */
  void recordFailure() {
    available = false;
  }

  /** Returns whether a watch that failed repeatedly may call now, and reserves the attempt. */
  boolean acquireAttempt(Instant now) {
    if (available) {
      return true;
    }
    if (now.isBefore(nextAttempt)) {
      return false;
    }
    nextAttempt = now.plus(RETRY_INTERVAL);
    return true;
  }
}
