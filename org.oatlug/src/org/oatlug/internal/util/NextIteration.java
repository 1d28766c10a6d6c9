// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * Runs actions in the next iteration of the event loop, after its input and output was processed.
 *
 * <p>An action submitted by {@link Vertx#runOnContext} while actions run is run among these: 600
 * such steps of 1 ms each were all run before the loop read a connection, so that connects to
 * upstreams timed out. Stateless; its actions are submitted and run on the event loop.
 */
public final class NextIteration {
  private NextIteration() {}

  /** Returns an executor for the event loop of the caller. */
  public static Executor of(Vertx vertx) {
    return action -> {
      ContextInternal context = (ContextInternal) vertx.getOrCreateContext();
      context
          .nettyEventLoop()
          .schedule(() -> context.emit(unused -> action.run()), 0, TimeUnit.NANOSECONDS);
    };
  }
}
