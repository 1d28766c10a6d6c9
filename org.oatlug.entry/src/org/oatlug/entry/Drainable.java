// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import io.vertx.core.Future;

/** What the daemon runs and stops as planned. */
interface Drainable {

  /** Stops as planned; the result comes when nothing is open any more. */
  Future<Void> drain();
}
