// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.util.Collection;
import java.util.function.ToDoubleFunction;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.table.UpstreamRow;

/** Preference of one request among the upstreams that it could be sent to. */
@FunctionalInterface
interface PlacementPreference {
  /** All upstreams are equally preferred. */
  PlacementPreference NONE = upstreams -> name -> 0;

  /**
   * An upstream that a request could be sent to.
   *
   * @param name its name
   * @param upstream its registration
   * @param row the state that this instance has observed
   */
  record Candidate(String name, UpstreamRecord upstream, UpstreamRow row) {}

  /**
   * Returns the additional cost of upstreams by name, in milliseconds of waiting; zero for those
   * that are preferred.
   */
  ToDoubleFunction<String> additionalMillis(Collection<Candidate> upstreams);
}
