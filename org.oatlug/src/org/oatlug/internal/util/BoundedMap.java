// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that holds a fixed number of entries; the one that was not used for the longest time gives
 * way. Not thread-safe.
 *
 * @param <K> the type of keys
 * @param <V> the type of values
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1L;
  private static final int FIRST_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private final int most;

  private BoundedMap(int most) {
    super(FIRST_CAPACITY, LOAD_FACTOR, true);
    this.most = most;
  }

  /** Returns an empty map of at most so many entries. */
  public static <K, V> BoundedMap<K, V> ofMost(int most) {
    return new BoundedMap<>(most);
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > most;
  }
}
