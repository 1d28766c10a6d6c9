// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import java.util.List;
import java.util.Optional;
import org.oatlug.api.RefusalReason;

/**
 * Where a request goes, or why nowhere, with the reason for each candidate passed over. Immutable.
 *
 * @param route the route, empty if refused
 * @param refusal the reason, empty if routed
 * @param passedOver the candidates that were not taken
 */
public record RoutingDecision(
    Optional<Route> route, Optional<RefusalReason> refusal, List<PassedOver> passedOver) {

  /** Why a candidate was not taken. */
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
   * A candidate that was not taken.
   *
   * @param candidate the name of a model, version or upstream
   * @param reason why
   */
  public record PassedOver(String candidate, Reason reason) {}

  /**
   * The chosen way.
   *
   * @param model the model, empty for a plain service
   * @param version the version or the application
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
