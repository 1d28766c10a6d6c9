// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import java.util.Map;
import java.util.Set;

/**
 * Attributes of a request on which the routing decision depends. Immutable.
 *
 * @param workspace the workspace
 * @param target a model, a cascade, or the application of a plain service
 * @param task the caller's task name, may be empty
 * @param session the version per model that the caller's session is bound to
 * @param promptTokens the estimated length of the prompt in tokens
 * @param prefix the hash of the start of the prompt
 * @param minimumStage the lowest cascade stage to use
 * @param excluded the upstreams that already failed this request
 */
public record RouteRequest(
    String workspace,
    String target,
    String task,
    Map<String, String> session,
    int promptTokens,
    long prefix,
    int minimumStage,
    Set<String> excluded) {

  /** Returns this request with these upstreams excluded instead. */
  public RouteRequest excluding(Set<String> failed) {
    return new RouteRequest(
        workspace, target, task, session, promptTokens, prefix, minimumStage, failed);
  }

  /** Returns this request with this minimum stage. */
  public RouteRequest fromStage(int stage) {
    return new RouteRequest(
        workspace, target, task, session, promptTokens, prefix, stage, excluded);
  }

  /** Returns this request bound to the versions of a session. */
  public RouteRequest withSession(Map<String, String> versions) {
    return new RouteRequest(
        workspace, target, task, versions, promptTokens, prefix, minimumStage, excluded);
  }
}
