// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * Where the requests of a host and path prefix go, and within which bounds. Immutable.
 *
 * @param name the name of the route
 * @param host the host that callers name
 * @param pathPrefix the beginning of the path; the longest one that fits counts
 * @param kind how often a request may run and how its answer arrives
 * @param timeoutMillis the longest that a request is held
 * @param goalMillis the time within which an answer, or its first event, is of full use
 * @param maximumAttempts the most upstreams that one request is sent to
 * @param priority the rank, 0 is the most urgent
 * @param openToAll whether a request needs no key
 * @param sticky whether a session stays with its upstream for the sake of its cached prompt
 * @param resumable whether a broken stream may go on at another upstream
 * @param pauseGoalMillis the longest pause between events of a stream that is of full use, 0 for
 *     none
 * @param models the models that may answer, the smallest first; empty if the caller names it
 * @param targets the services with their weights
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    long timeoutMillis,
    long goalMillis,
    int maximumAttempts,
    int priority,
    boolean openToAll,
    boolean sticky,
    boolean resumable,
    long pauseGoalMillis,
    List<String> models,
    List<WeightedTarget> targets) {

  /**
   * A service and its share of a route.
   *
   * @param service the name of the service
   * @param weight the share, relative to the other targets
   */
  public record WeightedTarget(String service, int weight) {}

  /** Returns whether a request may be sent to a second upstream after it may have run. */
  @JsonIgnore
  public boolean isRepeatable() {
    return kind == RouteKind.REPEATABLE || kind == RouteKind.STREAM && resumable;
  }

  /** Returns whether the system chooses the model. */
  @JsonIgnore
  public boolean isCascade() {
    return !models.isEmpty();
  }
}
