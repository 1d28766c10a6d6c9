// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

/**
 * Which instances send to upstreams whose rate is limited. Immutable; its parts belong to one event
 * loop.
 *
 * @param ofCold to those that have just started
 * @param ofLimited to those that advertise a limit
 */
public record RateSenders(SenderSelection ofCold, SenderSelection ofLimited) {
  /** Returns the senders of a single instance. */
  public static RateSenders alone() {
    return new RateSenders(SenderSelection.ALONE, SenderSelection.ALONE);
  }
}
