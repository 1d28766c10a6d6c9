// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.oatlug.internal.metrics.Meters;

/**
 * Records errors that the handlers of requests did not expect.
 *
 * <p>The one that calls a handler ends its request. Exhausted memory may also have interrupted a
 * change of shared state anywhere, so such errors are reported to the instance, which decides
 * whether it goes on. Used from one event loop.
 */
public final class HandlerErrors {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Meters meters;
  private Runnable onStateUnknown = () -> {};

  private HandlerErrors(Meters meters) {
    this.meters = meters;
  }

  /** Returns a recorder that only counts and logs. */
  static HandlerErrors create(Meters meters) {
    return new HandlerErrors(meters);
  }

  /** Sets the action to run at each error after which the state of the process is unknown. */
  public void onStateUnknown(Runnable action) {
    onStateUnknown = action;
  }

  /** Records an error that a handler has thrown, or that was thrown outside of all handlers. */
  public void record(Throwable error) {
    if (leavesStateUnknown(error)) {
      onStateUnknown.run();
    }
    meters.count("handler.error");
    logger.atSevere().withCause(error).atMostEvery(1, TimeUnit.SECONDS).log("a handler failed");
  }

  /**
   * Returns whether the error may have been thrown at any allocation, in the middle of a change.
   */
  private static boolean leavesStateUnknown(Throwable error) {
    return error instanceof VirtualMachineError && !(error instanceof StackOverflowError);
  }
}
