// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

/**
 * Limits the bytes of bodies that all open requests of an instance hold in memory.
 *
 * <p>Invariant: the bytes held never exceed the limit. Owned by one event loop, not thread-safe.
 */
final class HeldBytes {
  /** Three eighths of the 64 MB heap with which an instance is deployed. */
  private static final long DEFAULT_MAXIMUM_BYTES = 24L * 1024 * 1024;

  private final long maximumBytes;
  private long held;

  private HeldBytes(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /** Returns a limit of the default size. */
  static HeldBytes create() {
    return new HeldBytes(DEFAULT_MAXIMUM_BYTES);
  }

  /** Returns a limit of the given size in bytes. */
  static HeldBytes within(long maximumBytes) {
    return new HeldBytes(maximumBytes);
  }

  /** Reserves the bytes; returns false and reserves nothing if that would exceed the limit. */
  boolean take(long bytes) {
    if (held + bytes > maximumBytes) {
      return false;
    }
    held += bytes;
    return true;
  }

  /** Releases bytes that were reserved. */
  void give(long bytes) {
    held -= bytes;
  }

  /** Returns the number of bytes now reserved. */
  long held() {
    return held;
  }
}
