// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import java.util.List;
import java.util.Optional;
import org.oatlug.api.RefusalReason;

/**
 * Route of a request or the reason for its refusal, with the rejected candidates. Immutable.
 *
 * @param route the route, empty if refused
 * @param refusal the reason for the refusal, empty if routed
 * @param passedOver the candidates that were not chosen
 */
public record RoutingDecision(
    Optional<Route> route, Optional<RefusalReason> refusal, List<PassedOver> passedOver) {

  /** Reason for which a candidate was not chosen. */
  public enum Reason {
    NO_CURRENT_VERSION,
    VERSION_UNKNOWN,
    VERSION_WITHDRAWN,
    VERSION_RETIRING,
    DENIED_BY_POLICY,
    CANDIDATE_HALTED,
    CONFIGURATION_STALE,
    UPSTREAM_LEAVING,
    UPSTREAM_RESTS,
    UPSTREAM_EJECTED,
    UPSTREAM_FAILED_BEFORE,
    UPSTREAM_FULL,
    UPSTREAM_COSTLIER,
    STAGE_BELOW_MINIMUM
  }

  /**
   * Candidate that was not chosen.
   *
   * @param candidate the name of a model, version or upstream
   * @param reason the reason
   */
  public record PassedOver(String candidate, Reason reason) {}

  /**
   * Chosen model, version and upstream.
   *
   * @param model the model, empty for a plain service
   * @param version the version, or the application of a plain service
   * @param upstream the upstream
   * @param stage the cascade stage, 0 without a cascade
   */
  public record Route(String model, String version, String upstream, int stage) {}

  static RoutingDecision routed(Route route, List<PassedOver> passedOver) {
    return new RoutingDecision(Optional.of(route), Optional.empty(), List.copyOf(passedOver));
  }

  static RoutingDecision refused(RefusalReason reason, List<PassedOver> passedOver) {
    return new RoutingDecision(Optional.empty(), Optional.of(reason), List.copyOf(passedOver));
  }
}
