// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import java.time.Duration;

/**
 * What is expected of a request at one engine until its answer begins. Immutable, thread-safe.
 *
 * @param waitingMillis how long other prompts are read there first, in milliseconds
 * @param readingMillis how long its own prompt takes, in milliseconds
 * @param unreadTokens the tokens of its prompt that the engine has to read
 * @param certain whether it is known, and not only hoped, which parts the engine keeps
 */
public record HeadForecast(
    double waitingMillis, double readingMillis, double unreadTokens, boolean certain) {
  /** Stands for a request that no engine answers, of which nothing is expected. */
  public static final HeadForecast NONE = new HeadForecast(0, 0, 0, false);

  /** Stands for an answer that no upstream will give: longer than any caller waits. */
  public static final HeadForecast NEVER =
      new HeadForecast(Duration.ofDays(1).toMillis(), 0, 0, false);

  /** Returns the expected time to the head of the answer. */
  public Duration timeToHead() {
    return Duration.ofMillis(Math.round(waitingMillis + readingMillis));
  }
}
