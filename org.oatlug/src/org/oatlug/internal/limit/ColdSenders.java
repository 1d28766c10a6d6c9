// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

/**
 * Says which instances may send requests to an upstream while it is cold.
 *
 * <p>Implementations are used from one event loop.
 */
@FunctionalInterface
public interface ColdSenders {
  /** Every instance may send; for a single instance. */
  ColdSenders ALL = (upstream, zone, most) -> true;

  /**
   * Returns whether this instance is among those who may send.
   *
   * @param upstream the upstream
   * @param zone its availability zone
   * @param most how many instances may send
   */
  boolean isSender(String upstream, String zone, int most);
}
