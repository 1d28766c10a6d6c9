// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

/**
 * What callers may send and how long they may take. Immutable.
 *
 * @param headerBytes the longest head of a request, in bytes
 * @param bodyBytes the longest body, in bytes
 * @param headerTimeoutMillis how long the head of a request may take to arrive
 * @param idleTimeoutMillis how long a connection may rest
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** The limits while no configuration is known: those that most deployments use. */
  public static final CallerLimits DEFAULT = new CallerLimits(16384, 4194304, 3000, 15000);
}
