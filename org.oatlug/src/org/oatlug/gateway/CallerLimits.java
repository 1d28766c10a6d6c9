// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

/**
 * Size limits and timeouts of callers' requests. Immutable.
 *
 * @param headerBytes the maximum size of a request head, in bytes
 * @param bodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMillis the timeout for receiving a request head, in milliseconds
 * @param idleTimeoutMillis the timeout of an idle connection, in milliseconds
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Limits in use until a configuration is read: those of most deployments. */
  public static final CallerLimits DEFAULT = new CallerLimits(16384, 4194304, 3000, 15000);
}
