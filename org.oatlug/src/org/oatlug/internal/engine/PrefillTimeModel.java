// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

/**
 * The prefill time of a prompt as a linear function of its uncached tokens. Immutable, thread-safe.
 *
 * @param fixedMillis the time to first token of a fully cached prompt, in milliseconds
 * @param millisPerToken the additional time for each uncached token, in milliseconds
 */
public record PrefillTimeModel(double fixedMillis, double millisPerToken) {

  /** Returns the prefill time of a prompt with a number of uncached tokens, in milliseconds. */
  public double millisFor(double uncachedTokens) {
    return fixedMillis + millisPerToken * uncachedTokens;
  }
}
