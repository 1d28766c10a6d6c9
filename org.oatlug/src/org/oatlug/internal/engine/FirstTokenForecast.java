// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import java.time.Duration;

/**
 * A forecast of the time to first token of a request at one engine. Immutable, thread-safe.
 *
 * @param waitingMillis the prefill time of the prompts queued ahead of it, in milliseconds
 * @param prefillMillis the prefill time of its own prompt, in milliseconds
 * @param uncachedTokens the tokens of its prompt that are not in the prefix cache of the engine
 * @param certain whether the cached part of the prompt is known rather than assumed
 */
public record FirstTokenForecast(
    double waitingMillis, double prefillMillis, double uncachedTokens, boolean certain) {
  /** The forecast for a request that is not sent to an engine. */
  public static final FirstTokenForecast NONE = new FirstTokenForecast(0, 0, 0, false);

  /** The forecast if no upstream will respond: longer than any caller waits. */
  public static final FirstTokenForecast NEVER =
      new FirstTokenForecast(Duration.ofDays(1).toMillis(), 0, 0, false);

  /** Returns the expected time to first token. */
  public Duration timeToFirstToken() {
    return Duration.ofMillis(Math.round(waitingMillis + prefillMillis));
  }
}
