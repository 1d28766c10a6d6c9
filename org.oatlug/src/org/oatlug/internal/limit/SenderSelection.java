// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

/**
 * Selects the few instances that may send requests to an upstream while its rate is limited.
 *
 * <p>Implementations are used from one event loop.
 */
@FunctionalInterface
public interface SenderSelection {
  /** A single instance is the only sender of every upstream. */
  SenderSelection ALONE = (upstream, zone, maximum, rotation) -> 1;

  /**
   * Returns the number of instances, including this one, that share the rate of the upstream; zero
   * if this instance is not one of them.
   *
   * @param upstream the upstream process: the name of the upstream, with its start time if known
   * @param zone the availability zone of the upstream
   * @param maximum the maximum number of senders
   * @param rotation the number of times that other instances took over from idle senders
   */
  int senderCount(String upstream, String zone, int maximum, long rotation);
}
