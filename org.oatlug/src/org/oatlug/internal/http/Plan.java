// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpClientResponse;
import java.time.Instant;
import java.util.Set;
import org.oatlug.internal.engine.UpstreamCaller;
import org.oatlug.internal.routing.RoutingDecision;
import org.oatlug.internal.routing.RoutingDecision.Route;

/** Processing steps of one kind of request. Used from one event loop. */
interface Plan {

  /** Returns the requested model or application, for messages. */
  String target();

  /** Returns whether the request may run more than once. */
  boolean isRepeatable();

  /**
   * Decides the route of the request, without the excluded upstreams, at which an attempt of the
   * request failed.
   */
  RoutingDecision decide(Set<String> excluded, Instant now);

  /**
   * Prepares an attempt; a failure with a refusal ends the request, and the attempt does not run.
   */
  Uni<Void> prepare(Route route);

  /** Returns whether the route is still valid; checked immediately before bytes are sent. */
  boolean stillAllowed(Route route);

  /** Returns the call to send to the upstream. */
  UpstreamCaller.Call call(Route route);

  /** Handles a failed attempt at the version of the route. */
  void attemptFailed(Route route);

  /** Takes over the paused response and notifies the listener once of its end. */
  void handleResponse(Route route, HttpClientResponse response, ResponseListener listener);

  /**
   * Handles, once, the end of the request without a complete response.
   *
   * @param mayHaveRun whether an attempt of the request may have run
   */
  void unanswered(boolean mayHaveRun);

  /** Receives the end of an upstream response. */
  interface ResponseListener {
    /** The response was read completely. */
    void completed();

    /** The response was interrupted or invalid. */
    void interrupted(String problem);

    /** The response was read completely, but the request escalates to a stronger stage. */
    void escalated();
  }
}
