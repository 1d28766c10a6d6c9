// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.oatlug.internal.metrics.Meters;

/**
 * Logs what this instance is short of while it is slow itself.
 *
 * <p>A short processor shows as event-loop lag. A full link shows as connects to different targets
 * that all take long at a low lag, with bytes that wait to be written. The loss of a service shows
 * as neither of them. Invariant: at most one line per {@link #INTERVAL}. Owned by one event loop,
 * not thread-safe.
 */
final class InstanceLoadLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final Duration INTERVAL = Duration.ofSeconds(1);

  /** The delay from which the instance counts as slow: many round trips between zones. */
  private static final Duration SLOW = Duration.ofMillis(100);

  static final String FROM_CALLERS = "bytes.from-callers";
  static final String TO_UPSTREAMS = "bytes.to-upstreams";
  static final String FROM_UPSTREAMS = "bytes.from-upstreams";

  private final GatewayComponents components;
  private final IntSupplier openRequests;
  private final LongSupplier unwrittenBytes;
  private Instant lastCheck = Instant.EPOCH;
  private long lastFromCallers;
  private long lastToUpstreams;
  private long lastFromUpstreams;

  private InstanceLoadLog(
      GatewayComponents components, IntSupplier openRequests, LongSupplier unwrittenBytes) {
    this.components = components;
    this.openRequests = openRequests;
    this.unwrittenBytes = unwrittenBytes;
  }

  /**
   * Returns a log of one instance.
   *
   * @param openRequests returns the number of open requests
   * @param unwrittenBytes returns the bytes for callers that their sockets have not taken
   */
  static InstanceLoadLog create(
      GatewayComponents components, IntSupplier openRequests, LongSupplier unwrittenBytes) {
    return new InstanceLoadLog(components, openRequests, unwrittenBytes);
  }

  /** Logs the load once in an interval, if the instance is slow. */
  void tick() {
    Instant now = components.clock().instant();
    if (now.isBefore(lastCheck.plus(INTERVAL))) {
      return;
    }
    lastCheck = now;
    Meters meters = components.meters();
    long fromCallers = meters.value(FROM_CALLERS);
    long toUpstreams = meters.value(TO_UPSTREAMS);
    long fromUpstreams = meters.value(FROM_UPSTREAMS);
    Duration lag = components.eventLoopDelay().maximumSince(now.minus(INTERVAL));
    Duration connectDelay = components.connectTimes().currentDelay();
    if (lag.compareTo(SLOW) >= 0 || connectDelay.compareTo(SLOW) >= 0) {
      logger.atInfo().log(
          "instance slow, lagMillis=%d connectDelayMillis=%d connectUsualMillis=%d open=%d"
              + " queued=%d fromCallers=%d toUpstreams=%d fromUpstreams=%d unwrittenBytes=%d"
              + " sinceReceivedMillis=%d processorMillis=%d",
          lag.toMillis(),
          connectDelay.toMillis(),
          components.connectTimes().usual().toMillis(),
          openRequests.getAsInt(),
          components.dispatchQueue().size(),
          fromCallers - lastFromCallers,
          toUpstreams - lastToUpstreams,
          fromUpstreams - lastFromUpstreams,
          unwrittenBytes.getAsLong(),
          components.connectTimes().sinceReceived().toMillis(),
          processorMillis());
    }
    lastFromCallers = fromCallers;
    lastToUpstreams = toUpstreams;
    lastFromUpstreams = fromUpstreams;
  }

  /** Returns the processor time of this process since its start, -1 if the system hides it. */
  private static long processorMillis() {
    return ProcessHandle.current().info().totalCpuDuration().map(Duration::toMillis).orElse(-1L);
  }
}
