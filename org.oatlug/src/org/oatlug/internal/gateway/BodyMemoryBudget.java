// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

/**
 * Limits the bytes of bodies that all open requests of an instance hold in memory.
 *
 * <p>Invariant: the reserved bytes never exceed the limit. Owned by one event loop, not
 * thread-safe.
 */
final class BodyMemoryBudget {
  /** Three eighths of the 64 MB heap with which an instance is deployed. */
  private static final long DEFAULT_MAXIMUM_BYTES = 24L * 1024 * 1024;

  private final long maximumBytes;
  private long reservedBytes;

  private BodyMemoryBudget(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /** Returns a budget of the default size. */
  static BodyMemoryBudget create() {
    return new BodyMemoryBudget(DEFAULT_MAXIMUM_BYTES);
  }

  /** Returns a budget of the given size in bytes. */
  static BodyMemoryBudget within(long maximumBytes) {
    return new BodyMemoryBudget(maximumBytes);
  }

  /** Reserves the bytes; returns false and reserves nothing if that would exceed the budget. */
  boolean tryReserve(long bytes) {
    if (reservedBytes + bytes > maximumBytes) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  /** Releases bytes that were reserved. */
  void releaseBytes(long bytes) {
    reservedBytes -= bytes;
  }

  /** Returns the number of bytes now reserved. */
  long reservedBytes() {
    return reservedBytes;
  }
}
