// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import java.time.Duration;

/**
 * A forecast of the time to first token of a request at one engine. Immutable, thread-safe.
 *
 * @param waitingMillis the prefill time of the prompts queued ahead of it, in milliseconds
 * @param readingMillis the prefill time of its own prompt, in milliseconds
 * @param unreadTokens the tokens of its prompt that are not in the prefix cache of the engine
 * @param certain whether the cached part of the prompt is known rather than assumed
 */
public record HeadForecast(
    double waitingMillis, double readingMillis, double unreadTokens, boolean certain) {
  /** The forecast for a request that is not sent to an engine. */
  public static final HeadForecast NONE = new HeadForecast(0, 0, 0, false);

  /** The forecast if no upstream will respond: longer than any caller waits. */
  public static final HeadForecast NEVER =
      new HeadForecast(Duration.ofDays(1).toMillis(), 0, 0, false);

  /** Returns the expected time to first token. */
  public Duration timeToHead() {
    return Duration.ofMillis(Math.round(waitingMillis + readingMillis));
  }
}
