// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the bytes of bodies that all open requests of an instance hold in memory.
 *
 * <p>Requests that need much memory at once may wait for it, and only a part of the budget is for
 * them, so that they leave room for small bodies and for responses. Invariant: the reserved bytes
 * never exceed the limit. Owned by one event loop, not thread-safe.
 */
final class BodyMemoryBudget {
  /** Three eighths of the 64 MB heap with which an instance is deployed. */
  private static final long DEFAULT_MAXIMUM_BYTES = 24L * 1024 * 1024;

  /** The reservations that may use only a part of the budget. */
  private static final long MINIMUM_LARGE_BYTES = 256L * 1024;

  private static final double LARGE_SHARE = 0.75;

  private final long maximumBytes;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private long reservedBytes;
  private boolean granting;

  private BodyMemoryBudget(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /**
   * A large reservation that waits until there is room for it.
   *
   * @param bytes the number of bytes
   * @param granted runs once the bytes are reserved
   */
  record Waiting(long bytes, Runnable granted) {}

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
    if (isLarge(bytes) && !waiting.isEmpty() || !fits(bytes)) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  private static boolean isLarge(long bytes) {
    return bytes >= MINIMUM_LARGE_BYTES;
  }

  private boolean fits(long bytes) {
    boolean limited = isLarge(bytes) && reservedBytes > 0;
    long limit = limited ? (long) (maximumBytes * LARGE_SHARE) : maximumBytes;
    return reservedBytes + bytes <= limit;
  }

  /** Returns whether a reservation that does not fit now may wait until it does. */
  boolean mayFitLater(long bytes) {
    return isLarge(bytes) && bytes <= maximumBytes;
  }

  /** Adds a reservation that waits behind the others. */
  void await(Waiting reservation) {
    waiting.addLast(reservation);
  }

  /** Withdraws a reservation; returns false if it no longer waits. */
  boolean withdraw(Waiting reservation) {
    return waiting.removeIf(other -> other == reservation);
  }

  /** Returns the number of reservations that wait. */
  int waiting() {
    return waiting.size();
  }

  /** Releases bytes that were reserved, and grants the reservations that fit now. */
  void releaseBytes(long bytes) {
    reservedBytes -= bytes;
    if (!granting) {
      granting = true;
      try {
        grantWaiting();
      } finally {
        granting = false;
      }
    }
  }

  private void grantWaiting() {
    while (!waiting.isEmpty() && fits(waiting.peekFirst().bytes())) {
      Waiting next = waiting.removeFirst();
      reservedBytes += next.bytes();
      next.granted().run();
    }
  }

  /** Returns the number of bytes now reserved. */
  long reservedBytes() {
    return reservedBytes;
  }
}
