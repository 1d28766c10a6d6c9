// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.api;

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

  @Override
  public String toString() {
    return kind + "/" + name;
  }
}
