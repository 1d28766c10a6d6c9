// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

/** A system that runs over the tables on each tick of the event loop. */
@FunctionalInterface
public interface TickSystem {

  /** Does what is due; returns at once. */
  void tick();
}
