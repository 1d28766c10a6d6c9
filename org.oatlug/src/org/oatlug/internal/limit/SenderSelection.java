// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

/**
 * Assigns an upstream the few instances that may send requests to it while its rate is limited.
 *
 * <p>Implementations are used from one event loop.
 */
@FunctionalInterface
public interface SenderSelection {
  /** A single instance is the only sender of every upstream. */
  SenderSelection ALONE = (upstream, zone, most, turn) -> 1;

  /**
   * Returns among how many instances, this one included, the rate of the upstream is divided; zero
   * if this instance is not one of them.
   *
   * @param upstream the upstream with its start
   * @param zone its availability zone
   * @param most the most instances that may send
   * @param turn how often others take over from those that should send and have nothing to send
   */
  int sharers(String upstream, String zone, int most, long turn);
}
