// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.oatlug.config.Upstream;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.table.UpstreamTable;

/** Selects one of the eligible upstreams; implementations keep no state between calls. */
@FunctionalInterface
public interface UpstreamChooser {

  /** Returns one of the candidates, of which there is at least one. */
  Candidate choose(
      List<Candidate> candidates,
      RouteRequest request,
      UpstreamTable table,
      RandomGenerator random);

  /**
   * Upstream that is eligible for a request.
   *
   * @param row its state as observed by this instance
   * @param upstream its configuration
   * @param local whether it is in this instance's availability zone
   */
  record Candidate(UpstreamRow row, Upstream upstream, boolean local) {}
}
