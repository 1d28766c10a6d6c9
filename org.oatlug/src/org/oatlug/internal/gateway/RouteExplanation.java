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
import org.oatlug.internal.engine.HeadForecast;

/**
 * What an instance would do with a request now, and why. Immutable.
 *
 * <p>The decisions themselves are asked, as for a request that has just come: what changes them
 * while it is served (its wait, upstreams that were tried, the retry budget) is left out.
 *
 * @param route the route that the request takes
 * @param kind how often it may run
 * @param targets the services of the route
 */
public record RouteExplanation(String route, RouteKind kind, List<Target> targets) {
  /** The highest confidence that a model states, in hundredths. */
  private static final int MOST_CONFIDENCE = 100;

  /** The size of the request that is made up. */
  private static final int NO_BODY = 0;

  /** The id of the request that is made up to ask the decisions. */
  private static final String REQUEST_ID = "explain";

  /**
   * A service of the route.
   *
   * @param service its name
   * @param weight its share, relative to the others
   * @param versions which versions may answer while a roll-out runs, empty for any
   * @param stages the models of the cascade, the smallest first
   * @param upstreams the upstreams, the cheapest first
   */
  public record Target(
      String service,
      int weight,
      Optional<VersionRule.Wish> versions,
      List<Stage> stages,
      List<Candidate> upstreams) {}

  /**
   * A model of a cascade.
   *
   * @param model its name
   * @param leastConfidence the lowest confidence with which its answer is taken now
   */
  public record Stage(String model, int leastConfidence) {}

  /**
   * An upstream.
   *
   * @param name its name
   * @param zone its availability zone
   * @param version its version
   * @param load the requests that it is believed to have
   * @param costMillis what it costs to choose it, the lowest is taken; empty if it is out
   * @param out why it gets nothing now, empty if it may, or only its version may not answer
   */
  public record Candidate(
      String name,
      String zone,
      String version,
      int load,
      Optional<Long> costMillis,
      Optional<String> out) {}

  /**
   * Explains a request that has just come and names no session; empty if no route takes it.
   *
   * @param parts the parts whose decisions are asked
   * @param host the host that the caller names
   * @param path the path
   * @param generation what the request says of its prompt
   */
  public static Optional<RouteExplanation> of(
      GatewayParts parts, String host, String path, Generation generation) {
    return parts
        .tables()
        .routes()
        .find(host, path)
        .map(route -> explain(parts, route, headOf(host, path, generation)));
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

  private static RouteExplanation explain(GatewayParts parts, Route route, RequestHead head) {
    List<Target> targets =
        route.targets().stream().map(target -> explain(parts, route, target, head)).toList();
    return new RouteExplanation(route.name(), route.kind(), targets);
  }

  private static Target explain(
      GatewayParts parts, Route route, Route.WeightedTarget target, RequestHead head) {
    String service = target.service();
    Optional<VersionRule.Wish> wish =
        parts.versions().wishFor(service, head, VersionRule.Tried.NOTHING);
    Optional<String> firstModel =
        route.isCascade()
            ? Optional.of(route.models().get(parts.stages().first(route)))
            : Optional.empty();
    UpstreamSelection.Wanted wanted =
        new UpstreamSelection.Wanted(
            service, wish, firstModel, head.generation(), NO_BODY, Set.of(), false);
    return new Target(
        service, target.weight(), wish, stages(parts, route, wanted), candidates(parts, wanted));
  }

  private static List<Stage> stages(
      GatewayParts parts, Route route, UpstreamSelection.Wanted wanted) {
    List<Stage> stages = new ArrayList<>();
    for (int stage = 0; stage < route.models().size(); stage++) {
      int least = leastConfidence(parts, route, wanted, stage);
      stages.add(new Stage(route.models().get(stage), least));
    }
    return stages;
  }

  private static int leastConfidence(
      GatewayParts parts, Route route, UpstreamSelection.Wanted wanted, int stage) {
    for (int confidence = 0; confidence < MOST_CONFIDENCE; confidence++) {
      StageRule.Poor answer =
          new StageRule.Poor(
              route,
              wanted.service(),
              wanted.generation().orElse(Generation.UNKNOWN),
              stage,
              confidence,
              Duration.ZERO,
              model -> forecast(parts, wanted, model));
      if (parts.stages().insteadOf(answer).isEmpty()) {
        return confidence;
      }
    }
    return MOST_CONFIDENCE;
  }

  private static HeadForecast forecast(
      GatewayParts parts, UpstreamSelection.Wanted wanted, String model) {
    return parts
        .selection()
        .choose(wanted.of(model), parts.clock().instant())
        .map(UpstreamSelection.Chosen::forecast)
        .orElse(HeadForecast.NEVER);
  }

  private static List<Candidate> candidates(GatewayParts parts, UpstreamSelection.Wanted wanted) {
    List<UpstreamSelection.Chosen> costs = parts.selection().costs(wanted, parts.clock().instant());
    List<Candidate> candidates = new ArrayList<>();
    for (String name : parts.tables().upstreamsOf(wanted.service())) {
      UpstreamRecord upstream = parts.tables().upstream(name).orElseThrow();
      Optional<Long> cost =
          costs.stream()
              .filter(one -> one.name().equals(name))
              .map(one -> Math.round(one.costMillis()))
              .findFirst();
      int load = parts.tables().row(name).expectedLoad();
      Optional<String> out =
          parts.selection().standing().outOf(name, parts.clock().instant()).map(Enum::name);
      candidates.add(new Candidate(name, upstream.zone(), upstream.version(), load, cost, out));
    }
    candidates.sort(Comparator.comparingLong(one -> one.costMillis().orElse(Long.MAX_VALUE)));
    return candidates;
  }
}
