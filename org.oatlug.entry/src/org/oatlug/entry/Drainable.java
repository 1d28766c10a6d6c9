// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import io.vertx.core.Future;

/** A component that the daemon runs and shuts down gracefully. */
interface Drainable {

  /** Shuts down gracefully; the future completes when no request is open. */
  Future<Void> drain();
}
