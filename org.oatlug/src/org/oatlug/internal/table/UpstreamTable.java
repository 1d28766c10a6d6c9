// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.table;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/** The rows of all upstreams that were met. Owned by one event loop, not thread-safe. */
public final class UpstreamTable {
  private final Map<String, UpstreamRow> rows = new TreeMap<>();

  private UpstreamTable() {}

  /** Returns an empty table. */
  public static UpstreamTable create() {
    return new UpstreamTable();
  }

  /** Returns the row of the upstream, made on first use. */
  public UpstreamRow row(String name) {
    return rows.computeIfAbsent(name, UpstreamRow::new);
  }

  /** Returns all rows, ordered by name. */
  public Collection<UpstreamRow> all() {
    return rows.values();
  }
}
