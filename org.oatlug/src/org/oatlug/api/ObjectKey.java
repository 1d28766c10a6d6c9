// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.api;

import java.util.Objects;

/**
 * The kind and name of an object of the platform. Immutable, ordered by kind, then name.
 *
 * @param kind the kind, such as {@code version}
 * @param name the name, unique within the kind
 */
public record ObjectKey(String kind, String name) implements Comparable<ObjectKey> {

  /** Returns the key of {@code kind} and {@code name}. */
  public static ObjectKey valueOf(String kind, String name) {
    return new ObjectKey(kind, name);
  }

  @Override
  public int compareTo(ObjectKey other) {
    int byKind = kind.compareTo(other.kind);
    return byKind != 0 ? byKind : name.compareTo(other.name);
  }

  // Written out, because linking the methods that records have by default costs milliseconds of a
  // start.
  @Override
  public boolean equals(Object other) {
    return other instanceof ObjectKey key
        && Objects.equals(kind, key.kind)
        && Objects.equals(name, key.name);
  }

  /** Returns the hash by which instances divide objects into buckets, so it must not change. */
  @Override
  public int hashCode() {
    return 31 * Objects.hashCode(kind) + Objects.hashCode(name);
  }

  @Override
  public String toString() {
    return kind + "/" + name;
  }
}
