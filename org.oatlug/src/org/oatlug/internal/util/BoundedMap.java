// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Map with a maximum number of entries that evicts the least recently used entry. Not thread-safe.
 *
 * @param <K> the type of keys
 * @param <V> the type of values
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1L;
  private static final int INITIAL_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maximumSize;

  private BoundedMap(int maximumSize) {
    super(INITIAL_CAPACITY, LOAD_FACTOR, true);
    this.maximumSize = maximumSize;
  }

  /** Returns an empty map of at most {@code maximumSize} entries. */
  public static <K, V> BoundedMap<K, V> withMaximumSize(int maximumSize) {
    return new BoundedMap<>(maximumSize);
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maximumSize;
  }
}
