// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

/** Component with periodic work on each tick of the event loop. */
@FunctionalInterface
public interface TickSystem {

  /** Performs the work that is due, without blocking. */
  void tick();
}
