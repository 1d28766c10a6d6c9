// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.RouteKind;
import org.oatlug.gateway.UpstreamRecord;

/**
 * What an instance would do with a request now, and why. Immutable.
 *
 * <p>The decisions themselves are asked, so an explanation cannot differ from what is done; asking
 * changes nothing.
 *
 * @param route the route that the request takes
 * @param kind how often it may run
 * @param targets the services of the route
 */
public record RouteExplanation(String route, RouteKind kind, List<Target> targets) {
  private static final int MOST_CONFIDENCE = 100;

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
   * @param costMillis what it costs to choose it, the lowest is taken; empty if it is out: leaving,
   *     of a version that may not answer, or without a connection left
   */
  public record Candidate(
      String name, String zone, String version, int load, Optional<Long> costMillis) {}

  /**
   * Explains a request; empty if no route takes it.
   *
   * @param host the host that the caller names
   * @param path the path
   * @param generation what the request says of its prompt
   */
  public static Optional<RouteExplanation> of(
      GatewayParts parts, String host, String path, Generation generation) {
    RequestHead head =
        new RequestHead(
            "explain",
            host,
            path,
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            OptionalLong.empty(),
            Optional.of(generation));
    return parts.tables().routes().find(host, path).map(route -> of(parts, route, head));
  }

  private static RouteExplanation of(GatewayParts parts, Route route, RequestHead head) {
    List<Target> targets = new ArrayList<>();
    for (Route.WeightedTarget target : route.targets()) {
      String service = target.service();
      Optional<VersionRule.Wish> wish = parts.versions().wishFor(service, head, Optional.empty());
      Optional<String> first =
          route.isCascade()
              ? Optional.of(route.models().get(parts.stages().first(route)))
              : Optional.empty();
      UpstreamSelection.Wanted wanted =
          new UpstreamSelection.Wanted(service, wish, first, head.generation(), Set.of());
      targets.add(
          new Target(
              service,
              target.weight(),
              wish,
              stages(parts, route, service, head.generation().orElse(Generation.UNKNOWN)),
              candidates(parts, wanted)));
    }
    return new RouteExplanation(route.name(), route.kind(), targets);
  }

  private static List<Stage> stages(
      GatewayParts parts, Route route, String service, Generation generation) {
    List<Stage> stages = new ArrayList<>();
    for (int stage = 0; stage < route.models().size(); stage++) {
      int least = 0;
      while (least < MOST_CONFIDENCE
          && isDropped(parts, route, service, generation, stage, least)) {
        least++;
      }
      stages.add(new Stage(route.models().get(stage), least));
    }
    return stages;
  }

  private static boolean isDropped(
      GatewayParts parts,
      Route route,
      String service,
      Generation generation,
      int stage,
      int confidence) {
    OptionalInt instead =
        parts
            .stages()
            .insteadOf(
                new StageRule.Poor(route, service, generation, stage, confidence, Duration.ZERO));
    return instead.isPresent();
  }

  private static List<Candidate> candidates(GatewayParts parts, UpstreamSelection.Wanted wanted) {
    List<UpstreamSelection.Costed> costs = parts.selection().costs(wanted, parts.clock().instant());
    List<Candidate> candidates = new ArrayList<>();
    for (String name : parts.tables().upstreamsOf(wanted.service())) {
      UpstreamRecord upstream = parts.tables().upstream(name).orElseThrow();
      Optional<Long> cost =
          costs.stream()
              .filter(one -> one.candidate().name().equals(name))
              .map(one -> Math.round(one.millis()))
              .findFirst();
      int load = parts.tables().loads().row(name).expectedLoad();
      candidates.add(new Candidate(name, upstream.zone(), upstream.version(), load, cost));
    }
    candidates.sort(Comparator.comparingLong(one -> one.costMillis().orElse(Long.MAX_VALUE)));
    return candidates;
  }
}
