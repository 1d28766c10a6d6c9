// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.stream.Stream;
import org.oatlug.internal.limit.AcceptGate;
import org.oatlug.internal.limit.AcceptWindow;
import org.oatlug.internal.limit.ConcurrencyLimit;
import org.oatlug.internal.limit.ConnectionAdmission;
import org.oatlug.internal.limit.DispatchQueue;

/**
 * Limits the connections of callers by the load of this instance.
 *
 * <p>Invariant: the gate is closed only while the instance is overloaded, and the window is limited
 * only while the configuration bounds the delay of this instance. Used from one event loop.
 */
final class AcceptControl {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final GatewayComponents components;
  private final ConnectionAdmission connectionAdmission = ConnectionAdmission.create();
  private final AcceptGate acceptGate;
  private final AcceptWindow acceptWindow;
  private final ConcurrencyLimit concurrencyLimit = ConcurrencyLimit.create();
  private final IntSupplier openRequests;
  private int lastLimit = Integer.MAX_VALUE;

  private AcceptControl(
      GatewayComponents components,
      AcceptGate acceptGate,
      AcceptWindow acceptWindow,
      IntSupplier openRequests) {
    this.components = components;
    this.acceptGate = acceptGate;
    this.acceptWindow = acceptWindow;
    this.openRequests = openRequests;
  }

  /** Returns a control that limits nothing yet. */
  static AcceptControl create(
      GatewayComponents components,
      AcceptGate acceptGate,
      AcceptWindow acceptWindow,
      IntSupplier openRequests) {
    return new AcceptControl(components, acceptGate, acceptWindow, openRequests);
  }

  /** Returns whether a new connection is served; one that is not has to be closed unread. */
  boolean admits() {
    components.eventLoopDelay().probe();
    ConnectionAdmission.Decision decision =
        acceptGate.takePassed()
            ? ConnectionAdmission.Decision.ADMITTED_OVERLOADED
            : connectionAdmission.decide(
                load(), components.goalToProtect(), components.clock().instant());
    if (decision == ConnectionAdmission.Decision.REFUSED) {
      acceptGate.close();
      components.meters().count("connections.refused");
      return false;
    }
    if (decision == ConnectionAdmission.Decision.ADMITTED_OVERLOADED) {
      components.meters().count("connections.admitted-overloaded");
    }
    return true;
  }

  private ConnectionAdmission.Load load() {
    DispatchQueue<Exchange> queue = components.dispatchQueue();
    return new ConnectionAdmission.Load(
        components.eventLoopDelay().minimumDelay(components.clock().instant()),
        queue.oldestWait(),
        queue.size(),
        openRequests.getAsInt());
  }

  /** Opens the gate and logs the end of an overload, even if no further connection arrives. */
  void tick(Instant now) {
    if (acceptGate.isClosed()) {
      components.eventLoopDelay().probe();
      long refused = acceptGate.takeRefused();
      components.meters().count("connections.refused", refused);
      connectionAdmission.recordRefused(refused);
      if (!connectionAdmission.isOverloaded(load(), components.goalToProtect(), now)) {
        acceptGate.open();
      }
    }
    connectionAdmission.endOverloadIfOver(now);
    components
        .acceptDelayBound()
        .ifPresentOrElse(bound -> adjustAcceptWindow(bound, now), () -> acceptAll(now));
  }

  /** Ends a limit that an earlier configuration called for. */
  private void acceptAll(Instant now) {
    acceptWindow.setLimit(Integer.MAX_VALUE);
    components.relief().update(false, components.instances().getAsInt(), now);
  }

  private void adjustAcceptWindow(Duration bound, Instant now) {
    Duration delay = ownDelay(now);
    int occupied = acceptWindow.occupied();
    int limit = concurrencyLimit.adjust(delay, bound, occupied);
    acceptWindow.setLimit(limit);
    long held = acceptWindow.takeHeld();
    components.meters().count("accept.held", held);
    components.relief().update(held > 0, components.instances().getAsInt(), now);
    if (limit < Integer.MAX_VALUE) {
      components.eventLoopDelay().probe();
    }
    if (limit < lastLimit) {
      logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
          "accepting fewer connections, limit=%d occupied=%d delay=%d boundMillis=%d",
          limit, occupied, delay.toMillis(), bound.toMillis());
    }
    lastLimit = limit;
  }

  /** Returns the delay that a request finds in this instance, by its processor or its link. */
  private Duration ownDelay(Instant now) {
    return Stream.of(
            components.eventLoopDelay().minimumDelay(now),
            components.dispatchQueue().oldestWait(),
            components.connectTimes().currentDelay())
        .max(Comparator.naturalOrder())
        .orElse(Duration.ZERO);
  }
}
