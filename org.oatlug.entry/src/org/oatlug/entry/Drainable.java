// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import io.vertx.core.Future;

/** A component that the daemon runs and shuts down gracefully. */
interface Drainable {

  /** Shuts down gracefully; the future completes when all open work is done. */
  Future<Void> drain();
}
