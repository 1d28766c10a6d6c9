// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

/**
 * How long an engine takes to read a prompt: a fixed time and a time for each token. Immutable,
 * thread-safe.
 *
 * @param fixedMillis the time to the first token of a prompt that is kept whole, in milliseconds
 * @param millisPerToken the time that each token takes that has to be read, in milliseconds
 */
public record ReadingLine(double fixedMillis, double millisPerToken) {

  /** Returns how long a prompt takes of which so many tokens have to be read, in milliseconds. */
  public double millisFor(double unreadTokens) {
    return fixedMillis + millisPerToken * unreadTokens;
  }
}
