// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that starts at the system's time and then never jumps or runs back. Immutable,
 * thread-safe.
 */
public final class MonotonicClock implements InstantSource {
  private final Instant start = InstantSource.system().instant();
  private final long startNanos = System.nanoTime();

  private MonotonicClock() {}

  /** Returns a clock that starts now. */
  public static MonotonicClock create() {
    return new MonotonicClock();
  }

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanos);
  }
}
