// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.table;

import java.util.HashSet;
import java.util.Set;
import org.oatlug.internal.cascade.RatingTable;
import org.oatlug.internal.config.Catalogue;

/**
 * State of one instance on which its routing decisions are based.
 *
 * <p>Invariant: all parts are read and modified by one event loop only. Not thread-safe.
 *
 * @param catalogue the published objects
 * @param upstreams the observed state of each upstream
 * @param freshness the maximum age of the catalogue
 * @param ratings the rating counts of each cascade stage
 * @param locallyHalted the candidates whose roll-out this instance halted on its own evidence
 */
public record Tables(
    Catalogue catalogue,
    UpstreamTable upstreams,
    Freshness freshness,
    RatingTable ratings,
    Set<String> locallyHalted) {

  /** Returns empty tables. */
  public static Tables create(Freshness freshness) {
    return new Tables(
        Catalogue.create(),
        UpstreamTable.create(),
        freshness,
        RatingTable.create(),
        new HashSet<>());
  }
}
