// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.oatlug.internal.metrics.Meters;

/**
 * Records errors that the handlers of requests did not expect.
 *
 * <p>The one that calls a handler ends its request. An error of the virtual machine, such as
 * exhausted memory, may also have interrupted a change of shared state anywhere, so it is reported
 * to the instance, which stops serving. Invariant: the action for such errors runs once. Used from
 * one event loop.
 */
public final class HandlerErrors {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Meters meters;
  private Runnable onVirtualMachineError = () -> {};

  private HandlerErrors(Meters meters) {
    this.meters = meters;
  }

  /** Returns a recorder that only counts and logs. */
  static HandlerErrors create(Meters meters) {
    return new HandlerErrors(meters);
  }

  /** Sets the action to run once, at the first error of the virtual machine. */
  public void onVirtualMachineError(Runnable action) {
    onVirtualMachineError = action;
  }

  /** Records an error that a handler has thrown, or that was thrown outside of all handlers. */
  public void record(Throwable error) {
    if (error instanceof VirtualMachineError) {
      Runnable action = onVirtualMachineError;
      onVirtualMachineError = () -> {};
      action.run();
    }
    meters.count("handler.error");
    logger.atSevere().withCause(error).atMostEvery(1, TimeUnit.SECONDS).log("a handler failed");
  }
}
