// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import java.time.Duration;
import java.util.concurrent.Callable;

/** Waits for a state, with a generous bound; tests never assert on how long it took. */
public final class Await {
  private static final Duration BOUND = Duration.ofSeconds(40);
  private static final long POLL_MILLIS = 20;

  private Await() {}

  /** Returns once the state has come about. */
  public static void until(String what, Callable<Boolean> state) {
    long limit = System.nanoTime() + BOUND.toNanos();
    Exception last = null;
    while (System.nanoTime() < limit) {
      try {
        if (state.call()) {
          return;
        }
      } catch (Exception e) {
        last = e;
      }
      pause(POLL_MILLIS);
    }
    throw new AssertionError("did not come about: " + what, last);
  }

  /** Lets other processes go on for a while; nothing is concluded from it. */
  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
