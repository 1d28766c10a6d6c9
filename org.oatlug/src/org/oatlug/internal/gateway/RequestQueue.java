// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.oatlug.gateway.GatewaySettings.Switch;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.WorkspaceKeys;
import org.oatlug.internal.limit.AdmissionQueue;
import org.oatlug.internal.limit.AdmissionQueue.QueuedRequest;
import org.oatlug.internal.limit.AdmissionQueue.Rejection;
import org.oatlug.internal.limit.Urgency;

/**
 * Determines which requests for routed services may wait at this instance, and serves those that
 * do: when an upstream may have got room, and by a timer while any request waits.
 *
 * <p>{@link AdmissionQueue} decides about the waiting requests. Invariant: without a waiting
 * request no timer is set. Owned by one event loop, not thread-safe.
 */
public final class RequestQueue {
  /** The share of its goal that a request may wait if it is not deferrable. */
  private static final int BRIEF_WAIT_DIVISOR = 8;

  /** The share of its goal, and of the time to its deadline, that a deferrable request may wait. */
  private static final int DEFERRABLE_WAIT_DIVISOR = 2;

  /**
   * The minimum interval between two attempts to serve the queue. Each evaluates all upstreams of a
   * service, and a small instance has little processor time.
   */
  private static final Duration MINIMUM_INTERVAL = Duration.ofMillis(20);

  /** The interval at which the queue is served without a release, as estimates change with time. */
  private static final Duration MAXIMUM_INTERVAL = Duration.ofMillis(100);

  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final InstantSource clock;
  private final Switch setting;
  private final GatewayTables tables;
  private final WorkspaceShareRule shares;
  private final AdmissionQueue queue = AdmissionQueue.create();
  private long timer = NO_TIMER;
  private Instant timerAt = Instant.EPOCH;
  private Instant servedAt = Instant.EPOCH;
  private boolean stopping;

  private RequestQueue(
      Vertx vertx,
      InstantSource clock,
      Switch setting,
      GatewayTables tables,
      WorkspaceShareRule shares) {
    this.vertx = vertx;
    this.clock = clock;
    this.setting = setting;
    this.tables = tables;
    this.shares = shares;
  }

  /**
   * Returns an empty queue.
   *
   * @param setting whether requests may wait
   * @param shares decides which workspaces are beyond their share, whose requests are deferrable
   */
  static RequestQueue create(
      Vertx vertx,
      InstantSource clock,
      Switch setting,
      GatewayTables tables,
      WorkspaceShareRule shares) {
    return new RequestQueue(vertx, clock, setting, tables, shares);
  }

  /**
   * The terms on which a request may wait.
   *
   * @param bound the time until which it may wait
   * @param urgentGoalMillis the shortest goal of the requests that it must not delay, in
   *     milliseconds; empty if the pending prefill does not matter
   * @param beyondShare whether its workspace is beyond its share
   */
  record Terms(Instant bound, OptionalLong urgentGoalMillis, boolean beyondShare) {}

  /** Returns whether requests may wait, by the settings and the configuration in force. */
  boolean isUsed() {
    return setting.isOn(!tables.deferrableRoutes().isEmpty());
  }

  /**
   * Returns the order in which requests start once the event loop is overloaded, empty if requests
   * may not wait.
   */
  Optional<Comparator<Exchange>> startOrder() {
    return isUsed() ? Optional.of(orderBy(Exchange::urgency)) : Optional.empty();
  }

  /** Returns the order in which requests start while refused connections bound their wait. */
  Comparator<Exchange> startOrderOfBoundedWait() {
    return orderBy(Exchange::urgencyOfBoundedWait);
  }

  private Comparator<Exchange> orderBy(Function<Exchange, Urgency> urgency) {
    return Comparator.comparing(urgency, Urgency.order(clock.instant()));
  }

  /** Returns the wait of a request, empty if it may not wait. */
  Optional<RequestWait> waitOf(Exchange exchange) {
    if (!isUsed()) {
      return Optional.empty();
    }
    return termsOf(exchange.request()).map(terms -> new RequestWait(this, exchange, terms));
  }

  private Optional<Terms> termsOf(AdmittedRequest request) {
    return termsOf(
        request.service(),
        request.route(),
        request.workspace().map(WorkspaceKeys::name),
        request.arrived(),
        request.deadline());
  }

  /** Returns the terms on which a request may wait, empty if it may not. */
  Optional<Terms> termsOf(
      String service, Route route, Optional<String> workspace, Instant arrived, Instant deadline) {
    DeferrableRoutes routes = tables.deferrableRoutes();
    Duration goal = Duration.ofMillis(route.goalMillis());
    // Leaves time to run the request before its deadline.
    Duration timeout = Duration.between(arrived, deadline);
    Duration shorter = goal.compareTo(timeout) < 0 ? goal : timeout;
    Instant deferrableBound = arrived.plus(shorter.dividedBy(DEFERRABLE_WAIT_DIVISOR));
    boolean beyondShare = workspace.filter(name -> shares.isBeyondShare(service, name)).isPresent();
    if (routes.contains(service, route)) {
      return Optional.of(
          new Terms(deferrableBound, routes.shortestUrgentGoalMillis(service, route), beyondShare));
    }
    if (beyondShare) {
      return Optional.of(
          new Terms(deferrableBound, routes.shortestGoalMillisUpTo(service, route), true));
    }
    return setting == Switch.ON
        ? Optional.of(
            new Terms(
                arrived.plus(goal.dividedBy(BRIEF_WAIT_DIVISOR)), OptionalLong.empty(), false))
        : Optional.empty();
  }

  /** Returns whether requests may wait until the bound. */
  boolean mayWaitUntil(Instant bound) {
    return !stopping && clock.instant().isBefore(bound);
  }

  /** Returns whether a request waits for the target. */
  boolean isWaitedFor(String target) {
    return queue.isWaitedFor(target);
  }

  /** Queues a request and returns empty, or returns why it is rejected. */
  Optional<Rejection> enqueue(QueuedRequest request) {
    Optional<Rejection> rejection = queue.enqueue(request, clock.instant());
    if (rejection.isEmpty()) {
      scheduleNext();
    }
    return rejection;
  }

  /** Returns the position of a queued request in the queue of its target, from 1. */
  int positionOf(QueuedRequest request) {
    return queue.positionOf(request, clock.instant());
  }

  /** Removes a request that no longer waits; returns whether it was queued. */
  boolean remove(QueuedRequest request) {
    return queue.remove(request);
  }

  /** Serves the queue soon, as an upstream may have got room. */
  void roomMayBeFree() {
    if (queue.size() > 0) {
      schedule(servedAt.plus(MINIMUM_INTERVAL));
    }
  }

  /**
   * Ends all waits, so that the requests complete before this instance stops, and lets no further
   * request wait.
   */
  void stop() {
    stopping = true;
    queue.endAllWaits();
  }

  private void serve() {
    timer = NO_TIMER;
    servedAt = clock.instant();
    try {
      queue.serve(servedAt);
    } finally {
      scheduleNext();
    }
  }

  private void scheduleNext() {
    queue
        .earliestBound()
        .ifPresent(
            bound -> {
              Instant latest = clock.instant().plus(MAXIMUM_INTERVAL);
              schedule(bound.isBefore(latest) ? bound : latest);
            });
  }

  private void schedule(Instant at) {
    if (timer != NO_TIMER) {
      if (!at.isBefore(timerAt)) {
        return;
      }
      vertx.cancelTimer(timer);
    }
    timerAt = at;
    // Rounded up, so that a bound has passed when its timer fires.
    long millis = Duration.between(clock.instant(), at).plusNanos(999_999).toMillis();
    timer = vertx.setTimer(Math.max(1, millis), unused -> serve());
  }
}
