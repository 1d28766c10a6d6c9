// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.RouteKind;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.engine.FirstTokenForecast;

/**
 * Explains how an instance would route a request now, and why. Immutable.
 *
 * <p>It evaluates the real decisions for a request that has just arrived; state that changes them
 * while a request is served (its queueing time, the upstreams tried, the retry budget) is left out.
 *
 * @param route the route that matches the request
 * @param kind the execution guarantee of the route
 * @param targets the services of the route
 */
public record RouteExplanation(String route, RouteKind kind, List<Target> targets) {
  /** The highest confidence that a model states, in percent. */
  private static final int MAXIMUM_CONFIDENCE = 100;

  /** The body size of the synthetic request, in bytes. */
  private static final int EMPTY_BODY_BYTES = 0;

  /** The id of the synthetic request for which the decisions are evaluated. */
  private static final String REQUEST_ID = "explain";

  /**
   * A target service of the route.
   *
   * @param service its name
   * @param weight its weight relative to the other targets
   * @param versions the version preference during a roll-out, empty if any version may answer
   * @param stages the models of the cascade, smallest first
   * @param upstreams the upstreams, lowest cost first
   */
  public record Target(
      String service,
      int weight,
      Optional<VersionRule.VersionPreference> versions,
      List<Stage> stages,
      List<Candidate> upstreams) {}

  /**
   * A model of a cascade.
   *
   * @param model its name
   * @param leastConfidence the lowest confidence at which its answer is accepted now
   */
  public record Stage(String model, int leastConfidence) {}

  /**
   * A candidate upstream.
   *
   * @param name its name
   * @param zone its availability zone
   * @param version its version
   * @param load the estimated number of its open requests
   * @param costMillis the cost of choosing it, in milliseconds; the lowest is chosen, empty if it
   *     is excluded
   * @param out the reason for which it is excluded, empty if it is available or only its version is
   *     excluded
   */
  public record Candidate(
      String name,
      String zone,
      String version,
      int load,
      Optional<Long> costMillis,
      Optional<String> out) {}

  /**
   * Explains a request that has just arrived without a session; empty if no route matches.
   *
   * @param components the components whose decisions are evaluated
   * @param host the requested host
   * @param path the requested path
   * @param generation the generation parameters of the request
   */
  public static Optional<RouteExplanation> of(
      GatewayComponents components, String host, String path, Generation generation) {
    return components
        .tables()
        .routes()
        .find(host, path)
        .map(route -> explain(components, route, headOf(host, path, generation)));
  }

  private static RequestHead headOf(String host, String path, Generation generation) {
    return new RequestHead(
        REQUEST_ID,
        host,
        path,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        OptionalLong.empty(),
        Optional.of(generation));
  }

  private static RouteExplanation explain(
      GatewayComponents components, Route route, RequestHead head) {
    List<Target> targets =
        route.targets().stream().map(target -> explain(components, route, target, head)).toList();
    return new RouteExplanation(route.name(), route.kind(), targets);
  }

  private static Target explain(
      GatewayComponents components, Route route, Route.WeightedTarget target, RequestHead head) {
    String service = target.service();
    Optional<VersionRule.VersionPreference> preference =
        components.versions().preferenceFor(service, route, head, VersionRule.PriorAttempts.NONE);
    Optional<String> firstModel =
        route.isCascade()
            ? Optional.of(route.models().get(components.stages().firstStage(route)))
            : Optional.empty();
    UpstreamSelection.Criteria criteria =
        new UpstreamSelection.Criteria(
            service,
            preference,
            firstModel,
            head.generation(),
            EMPTY_BODY_BYTES,
            Set.of(),
            false,
            route.goalMillis());
    return new Target(
        service,
        target.weight(),
        preference,
        stages(components, route, criteria),
        candidates(components, criteria));
  }

  private static List<Stage> stages(
      GatewayComponents components, Route route, UpstreamSelection.Criteria criteria) {
    List<Stage> stages = new ArrayList<>();
    for (int stage = 0; stage < route.models().size(); stage++) {
      int confidence = minimumConfidence(components, route, criteria, stage);
      stages.add(new Stage(route.models().get(stage), confidence));
    }
    return stages;
  }

  private static int minimumConfidence(
      GatewayComponents components, Route route, UpstreamSelection.Criteria criteria, int stage) {
    for (int confidence = 0; confidence < MAXIMUM_CONFIDENCE; confidence++) {
      StageRule.LowConfidenceResponse answer =
          new StageRule.LowConfidenceResponse(
              route,
              criteria.service(),
              criteria.generation().orElse(Generation.UNKNOWN),
              stage,
              confidence,
              Duration.ZERO,
              model -> forecast(components, criteria, model));
      if (components.stages().replacementStage(answer).isEmpty()) {
        return confidence;
      }
    }
    return MAXIMUM_CONFIDENCE;
  }

  private static FirstTokenForecast forecast(
      GatewayComponents components, UpstreamSelection.Criteria criteria, String model) {
    return components
        .selection()
        .choose(criteria.withModel(model), components.clock().instant())
        .map(UpstreamSelection.CostedUpstream::forecast)
        .orElse(FirstTokenForecast.NEVER);
  }

  private static List<Candidate> candidates(
      GatewayComponents components, UpstreamSelection.Criteria criteria) {
    List<UpstreamSelection.CostedUpstream> costs =
        components.selection().costs(criteria, components.clock().instant());
    List<Candidate> candidates = new ArrayList<>();
    for (String name : components.tables().upstreamsOf(criteria.service())) {
      UpstreamRecord upstream = components.tables().upstream(name).orElseThrow();
      Optional<Long> cost =
          costs.stream()
              .filter(chosen -> chosen.name().equals(name))
              .map(chosen -> Math.round(chosen.costMillis()))
              .findFirst();
      int load = components.tables().row(name).expectedLoad();
      Optional<String> exclusionReason =
          components
              .selection()
              .eligibility()
              .exclusionOf(name, components.clock().instant())
              .map(Enum::name);
      candidates.add(
          new Candidate(name, upstream.zone(), upstream.version(), load, cost, exclusionReason));
    }
    candidates.sort(
        Comparator.comparingLong(candidate -> candidate.costMillis().orElse(Long.MAX_VALUE)));
    return candidates;
  }
}
