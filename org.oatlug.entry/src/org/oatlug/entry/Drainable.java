package org.oatlug.entry;

import io.vertx.core.Future;

/** What the daemon runs and stops as planned. */
interface Drainable {

  /** Stops as planned; the result comes when nothing is open any more. */
  Future<Void> drain();
}
