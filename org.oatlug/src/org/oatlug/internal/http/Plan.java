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

/** What one kind of request does at the steps of its way. Used from one event loop. */
interface Plan {

  /** Returns what the caller asked for, for messages. */
  String target();

  /** Returns whether the request may run more than once. */
  boolean isRepeatable();

  /** Decides where the request goes, without the upstreams that failed it. */
  RoutingDecision decide(Set<String> excluded, Instant now);

  /** Prepares for the route; a failure with a refusal ends the request, which did not run. */
  Uni<Void> prepare(Route route);

  /** Returns whether the route still holds; asked last before bytes leave. */
  boolean stillAllowed(Route route);

  /** Returns what is sent. */
  UpstreamCaller.Call call(Route route);

  /** Is told that an attempt failed at the version. */
  void attemptFailed(Route route);

  /** Takes over the answer, which is paused, and reports once how it ended. */
  void answered(Route route, HttpClientResponse response, Ending ending);

  /** Is told once that the request ends without a whole answer, and whether it may have run. */
  void unanswered(boolean mayHaveRun);

  /** Takes the report how an answer ended. */
  interface Ending {
    /** The whole answer was taken. */
    void whole();

    /** The answer broke off. */
    void broken(String problem);

    /** The whole answer was taken but a stronger stage shall answer. */
    void escalate();
  }
}
