// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

/**
 * The bytes of bodies that all open requests of an instance hold in memory.
 *
 * <p>Invariant: never more than the bound. Owned by one event loop, not thread-safe.
 */
final class HeldBytes {
  /** Three eighths of the heap of 64 MB that the deployments give an instance. */
  private static final long MOST = 24L * 1024 * 1024;

  private final long most;
  private long held;

  private HeldBytes(long most) {
    this.most = most;
  }

  /** Returns an account with the usual bound. */
  static HeldBytes create() {
    return new HeldBytes(MOST);
  }

  /** Returns an account with a bound of its own. */
  static HeldBytes within(long most) {
    return new HeldBytes(most);
  }

  /** Takes room for so many bytes; returns false and takes nothing if there is not enough. */
  boolean take(long bytes) {
    if (held + bytes > most) {
      return false;
    }
    held += bytes;
    return true;
  }

  /** Gives back room that was taken. */
  void give(long bytes) {
    held -= bytes;
  }

  /** Returns the bytes held now. */
  long held() {
    return held;
  }
}
