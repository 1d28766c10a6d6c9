// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oatlug.gateway.GatewaySettings.Switch;
import org.oatlug.internal.limit.ReadAheadBudget;
import org.oatlug.internal.metrics.Meters;

/**
 * The buffers of all responses whose callers have not read them yet.
 *
 * <p>{@link ReadAheadBudget} decides which callers are disconnected; before one of them is, its
 * socket is tried once more, because a pause of this process looks like callers that do not read.
 * The buffered bytes are part of {@link BodyMemoryBudget}; if they do not fit there, the upstream
 * pauses. Used from one event loop.
 */
final class ReadAheadBuffers {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The time between checks while bytes are held: a quarter of the time to a stalled caller. */
  private static final long CHECK_MILLIS = 500;

  private final Vertx vertx;
  private final InstantSource clock;
  private final boolean inUse;
  private final BodyMemoryBudget bodyMemory;
  private final LogRateLimit logLimit;
  private final Meters meters;
  private final ReadAheadBudget<ReadAheadBuffer> budget;

  /** The bytes of each buffer that are reserved in the memory for bodies. */
  private final Map<ReadAheadBuffer, Long> reserved = new HashMap<>();

  private boolean checkScheduled;

  private ReadAheadBuffers(
      Vertx vertx,
      InstantSource clock,
      Switch readers,
      BodyMemoryBudget bodyMemory,
      LogRateLimit logLimit,
      Meters meters) {
    this.vertx = vertx;
    this.clock = clock;
    // The limit protects the instance whatever its configuration.
    this.inUse = readers.isOn(true);
    this.bodyMemory = bodyMemory;
    this.logLimit = logLimit;
    this.meters = meters;
    this.budget = ReadAheadBudget.create(clock);
    meters.gauge("readers.read-ahead-bytes", budget::heldBytes);
  }

  /** Returns the buffers of an instance, which are not used if the switch is off. */
  static ReadAheadBuffers create(
      Vertx vertx,
      InstantSource clock,
      Switch readers,
      BodyMemoryBudget bodyMemory,
      LogRateLimit logLimit,
      Meters meters) {
    return new ReadAheadBuffers(vertx, clock, readers, bodyMemory, logLimit, meters);
  }

  /**
   * Returns a buffer for the response to a request, empty if read-ahead is off.
   *
   * @param onEvict closes the connection
   */
  Optional<ReadAheadBuffer> open(
      HttpServerRequest callerRequest, AdmittedRequest request, Runnable onEvict) {
    if (!inUse) {
      return Optional.empty();
    }
    ReadAheadBudget.Terms terms =
        new ReadAheadBudget.Terms(
            Duration.ofMillis(request.route().goalMillis()), request.deadline());
    return Optional.of(
        new ReadAheadBuffer(
            this, request, callerRequest.connection(), callerRequest.response(), terms, onEvict));
  }

  /** Returns the number of bytes that wait for all callers. */
  long heldBytes() {
    return budget.heldBytes();
  }

  /** Returns the number of bytes that wait for the caller of a response. */
  long heldBytes(ReadAheadBuffer buffer) {
    return budget.heldBytes(buffer);
  }

  /** Counts bytes that wait for a caller. */
  void hold(ReadAheadBuffer buffer, long bytes) {
    if (bodyMemory.tryReserve(bytes)) {
      reserved.merge(buffer, bytes, Long::sum);
    }
    budget.hold(buffer, buffer.terms(), bytes);
    scheduleCheck();
  }

  /** Evicts responses of stalled callers while the limit of all responses is reached. */
  void makeRoom() {
    while (budget.isFull()) {
      Optional<ReadAheadBuffer> selected = budget.toEvict();
      if (selected.isEmpty()) {
        return;
      }
      selected.get().checkProgress();
      if (budget.isStalled(selected.get())) {
        disconnect(selected.get());
      }
    }
  }

  private void disconnect(ReadAheadBuffer buffer) {
    meters.count("readers.disconnected");
    logLimit
        .line(logger, buffer.requestId())
        .log(
            "caller disconnected: read nothing for %d ms, %d bytes held, %d bytes held of all"
                + " callers",
            budget.unreadFor(buffer).toMillis(), budget.heldBytes(buffer), budget.heldBytes());
    buffer.evict();
    buffer.close();
  }

  /** Records that held bytes were passed to the socket of the caller. */
  void release(ReadAheadBuffer buffer, long bytes) {
    budget.release(buffer, bytes);
    long inBodyMemory = reserved.getOrDefault(buffer, 0L);
    releaseReserved(buffer, Math.max(0, inBodyMemory - budget.heldBytes(buffer)));
  }

  private void releaseReserved(ReadAheadBuffer buffer, long bytes) {
    bodyMemory.releaseBytes(bytes);
    reserved.computeIfPresent(buffer, (key, all) -> all > bytes ? all - bytes : null);
  }

  /** Records that the caller reads. */
  void recordReading(ReadAheadBuffer buffer) {
    budget.recordReading(buffer);
  }

  /** Records that the response was read from its upstream entirely. */
  void markComplete(ReadAheadBuffer buffer) {
    budget.markComplete(buffer);
  }

  /** Drops the bytes of a buffer whose connection is closed. */
  void drop(ReadAheadBuffer buffer) {
    budget.drop(buffer);
    releaseReserved(buffer, reserved.getOrDefault(buffer, 0L));
  }

  /** Returns whether the caller has read nothing for so long that it may be disconnected. */
  boolean isStalled(ReadAheadBuffer buffer) {
    buffer.checkProgress();
    return budget.isStalled(buffer);
  }

  /** Returns whether the upstream of the response must pause. */
  boolean mustPause(ReadAheadBuffer buffer) {
    return budget.mustPause(buffer) || !isReserved(buffer);
  }

  /** Returns whether a paused upstream of the response may continue. */
  boolean mayContinue(ReadAheadBuffer buffer) {
    return budget.mayContinue(buffer) && isReserved(buffer);
  }

  private boolean isReserved(ReadAheadBuffer buffer) {
    return reserved.getOrDefault(buffer, 0L) >= budget.heldBytes(buffer);
  }

  /** Counts that an upstream was paused. */
  void upstreamPaused() {
    meters.count("readers.upstream-paused");
  }

  private void scheduleCheck() {
    if (!checkScheduled) {
      checkScheduled = true;
      vertx.setTimer(CHECK_MILLIS, unused -> check());
    }
  }

  private void check() {
    checkScheduled = false;
    budget.responses().forEach(ReadAheadBuffer::checkProgress);
    for (int stalled = budget.takeNewlyStalled(); stalled > 0; stalled--) {
      meters.count("readers.stalled");
    }
    Optional<ReadAheadBuffer> selected = budget.toDisconnect();
    while (selected.isPresent()) {
      disconnect(selected.get());
      selected = budget.toDisconnect();
    }
    makeRoom();
    budget.responses().forEach(ReadAheadBuffer::resumeIfPossible);
    if (!budget.responses().isEmpty()) {
      scheduleCheck();
    }
  }
}
