// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.table;

import java.util.HashSet;
import java.util.Set;
import org.oatlug.internal.cascade.RatingTable;
import org.oatlug.internal.config.Catalogue;

/**
 * The state that one instance routes by.
 *
 * <p>Invariant: all parts are read and changed by one event loop only. Not thread-safe.
 *
 * @param catalogue the published objects
 * @param upstreams what is known of each upstream
 * @param freshness how old the catalogue can be
 * @param ratings what is known of each cascade stage
 * @param haltedHere candidates that this instance halted by itself
 */
public record Tables(
    Catalogue catalogue,
    UpstreamTable upstreams,
    Freshness freshness,
    RatingTable ratings,
    Set<String> haltedHere) {

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
