// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

/** Preference of one request among the upstreams of its service. */
@FunctionalInterface
interface PlacementPreference {
  /** All upstreams are equally preferred. */
  PlacementPreference NONE = name -> 0;

  /**
   * Returns the additional cost of an upstream, in milliseconds of waiting; zero for those that are
   * preferred.
   */
  double additionalMillis(String upstream);
}
