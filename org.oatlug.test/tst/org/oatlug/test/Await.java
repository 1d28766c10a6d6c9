// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import java.time.Duration;
import java.util.concurrent.Callable;

/** Polls for a condition with a generous timeout; tests never assert how long it took. */
public final class Await {
  private static final Duration TIMEOUT = Duration.ofSeconds(40);
  private static final long POLL_MILLIS = 20;

  private Await() {}

  /**
   * Returns once the condition holds.
   *
   * @throws AssertionError if it does not hold within the timeout
   */
  public static void until(String description, Callable<Boolean> condition) {
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    Exception lastException = null;
    while (System.nanoTime() < deadline) {
      try {
        if (condition.call()) {
          return;
        }
      } catch (Exception e) {
        lastException = e;
      }
      pause(POLL_MILLIS);
    }
    throw new AssertionError("condition not met within the timeout: " + description, lastException);
  }

  /** Sleeps while other processes run. Prefer {@link #until} where a condition can be polled. */
  public static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
