// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** Clock that a test advances explicitly. Not thread-safe. */
final class FakeClock implements InstantSource {
  private Instant now = Instant.parse("2026-12-02T12:00:00Z");

  @Override
  public Instant instant() {
    return now;
  }

  void advance(Duration step) {
    now = now.plus(step);
  }
}
