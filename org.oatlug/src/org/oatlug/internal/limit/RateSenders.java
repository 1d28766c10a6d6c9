// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

/**
 * The selections of the instances that send to upstreams with a limited rate. Immutable; the
 * selections are used from one event loop.
 *
 * @param ofCold the senders to upstreams that have just started
 * @param ofLimited the senders to upstreams that advertise a limit
 * @param ofBrittle the senders to upstreams that are brittle
 */
public record RateSenders(
    SenderSelection ofCold, SenderSelection ofLimited, SenderSelection ofBrittle) {
  /** Returns the senders of a single instance. */
  public static RateSenders alone() {
    return new RateSenders(SenderSelection.ALONE, SenderSelection.ALONE, SenderSelection.ALONE);
  }
}
