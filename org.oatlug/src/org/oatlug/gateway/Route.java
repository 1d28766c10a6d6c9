// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * Targets and limits of the requests to a host and path prefix. Immutable.
 *
 * @param name the name of the route
 * @param host the host of the requests
 * @param pathPrefix the prefix of the path; the route with the longest matching prefix applies
 * @param kind whether a request may be repeated and whether its response is a stream
 * @param timeoutMillis the maximum time that the system spends on a request, in milliseconds
 * @param goalMillis the time within which a response, or its first event, has its full value, in
 *     milliseconds
 * @param maximumAttempts the maximum number of upstreams to which one request is sent
 * @param priority the priority, 0 is the most urgent
 * @param openToAll whether requests need no key
 * @param sticky whether a session stays with its upstream to reuse the cached prompt
 * @param resumable whether an interrupted stream may be resumed at another upstream
 * @param pauseGoalMillis the maximum pause between events of a stream of full value, in
 *     milliseconds; 0 for no maximum
 * @param models the models of the cascade, smallest first; empty if the caller names the model
 * @param targets the target services with their weights
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
   * Service with its share of the requests of a route.
   *
   * @param service the name of the service
   * @param weight the weight, relative to the other targets
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
