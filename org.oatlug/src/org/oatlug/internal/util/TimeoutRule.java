// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Decides which timeouts are evidence about the other side; see {@link TimeoutEvidence}. */
@FunctionalInterface
public interface TimeoutRule {
  /** The rule by which every timeout is evidence. */
  TimeoutRule ALWAYS = timeout -> () -> true;

  /**
   * Called when a time limit begins.
   *
   * @param timeout the limit
   * @return returns whether the timeout is evidence, called when it has fired
   */
  BooleanSupplier start(Duration timeout);
}
