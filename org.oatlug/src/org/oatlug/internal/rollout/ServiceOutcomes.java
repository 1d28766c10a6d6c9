// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.rollout;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.google.common.collect.Maps;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BinaryOperator;

/**
 * Counts of the responses of a service during a roll-out, by route. Immutable, thread-safe.
 *
 * <p>Routes are judged separately, because their failure rates may differ by orders of magnitude: a
 * version that fails on one route only would be hidden by the failures of the others.
 *
 * @param routes the counts by the name of the route
 */
public record ServiceOutcomes(@JsonValue Map<String, RouteOutcomes> routes) {
  /** No responses. */
  public static final ServiceOutcomes NONE = new ServiceOutcomes(Map.of());

  /** The maximum number of routes that are counted separately; the others are counted together. */
  public static final int MAXIMUM_ROUTES = 32;

  /** The name under which the routes beyond the maximum are counted. */
  public static final String OTHER_ROUTES = "*";

  /**
   * The minimum number of responses of the candidate for a route to be judged by itself. Routes
   * with fewer are judged together.
   */
  private static final long MINIMUM_RESPONSES = 6;

  /** The responses by which estimates of a route's traffic and failure rate are smoothed. */
  private static final double SMOOTHING = 4;

  /** The share of a route's requests above which more responses say little more about it. */
  private static final double MAXIMUM_ROUTE_SHARE = 0.5;

  /** Routes with a lower failure rate get as many responses of the candidate as one with it. */
  private static final double MINIMUM_ASSUMED_RATE = 0.025;

  /** Creates counts from their serialized form. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ServiceOutcomes {
    routes = routes == null ? Map.of() : routes;
  }

  /** Returns the sum of the counts of two disjoint sets of responses. */
  public ServiceOutcomes plus(ServiceOutcomes other) {
    return combine(other, RouteOutcomes::plus);
  }

  /** Returns the later of two states of the same counts, in whichever order they arrive. */
  public ServiceOutcomes join(ServiceOutcomes other) {
    return combine(other, RouteOutcomes::join);
  }

  private ServiceOutcomes combine(
      ServiceOutcomes other, BinaryOperator<RouteOutcomes> combination) {
    if (other.routes.isEmpty()) {
      return this;
    }
    Map<String, RouteOutcomes> combined = new TreeMap<>(routes);
    other.routes.forEach((route, counts) -> combined.merge(route, counts, combination));
    return new ServiceOutcomes(combined);
  }

  /**
   * Returns these counts without the candidate's responses in the first half of the duration, after
   * which its share rises.
   */
  public ServiceOutcomes ofSecondHalf() {
    return new ServiceOutcomes(
        new TreeMap<>(
            Maps.transformValues(routes, route -> route.since(RouteOutcomes.PERIODS / 2))));
  }

  /** Returns the sum of all counts of all routes. */
  public OutcomeCounts total() {
    return routes.values().stream()
        .map(RouteOutcomes::total)
        .reduce(OutcomeCounts.NONE, OutcomeCounts::plus);
  }

  /** Returns whether all counts are present and in their valid range. */
  public boolean isSound() {
    // Instances may each count other routes separately.
    return routes.size() <= MAXIMUM_ROUTES * MAXIMUM_ROUTES
        && routes.values().stream().allMatch(route -> route != null && route.isSound());
  }

  /**
   * Returns the natural logarithm of the mean Bayes factor of the routes that the candidate is
   * worse; empty while there are too few responses of the candidate to judge any route.
   */
  public OptionalDouble logEvidence() {
    List<Double> logFactors = new ArrayList<>();
    RouteOutcomes small = RouteOutcomes.NONE;
    for (RouteOutcomes route : routes.values()) {
      if (route.total().candidate() >= MINIMUM_RESPONSES) {
        logFactors.add(FailureRateTest.logBayesFactor(route));
      } else {
        small = small.plus(route);
      }
    }
    if (small.total().candidate() >= MINIMUM_RESPONSES) {
      logFactors.add(FailureRateTest.logBayesFactor(small));
    }
    if (logFactors.isEmpty()) {
      return OptionalDouble.empty();
    }
    double[] values = logFactors.stream().mapToDouble(Double::doubleValue).toArray();
    return OptionalDouble.of(FailureRateTest.logMeanExp(values));
  }

  /**
   * Returns the candidate's share of the requests of each route, so that its share of the requests
   * of the service is at most {@code serviceShare}.
   *
   * <p>The responses of the candidate are allocated to the routes in proportion to the standard
   * deviation of their outcomes (Neyman allocation): more of them are needed to judge a route on
   * which the current version fails often, however few of the requests it has. What a route with
   * few requests cannot take goes to the others.
   */
  public Map<String, Double> allocation(double serviceShare) {
    double responses = 0;
    for (RouteOutcomes route : routes.values()) {
      responses += route.total().responses() + SMOOTHING;
    }
    Map<String, Double> shares = new HashMap<>();
    double remaining = serviceShare;
    boolean changed = true;
    while (changed && shares.size() < routes.size()) {
      double deviations = sumOfDeviations(shares.keySet());
      double allocatable = remaining;
      changed = false;
      for (Map.Entry<String, RouteOutcomes> route : routes.entrySet()) {
        OutcomeCounts counts = route.getValue().total();
        double part = (counts.responses() + SMOOTHING) / responses;
        double share = allocatable * deviation(counts) / deviations / part;
        if (!shares.containsKey(route.getKey()) && share > MAXIMUM_ROUTE_SHARE) {
          shares.put(route.getKey(), MAXIMUM_ROUTE_SHARE);
          remaining -= MAXIMUM_ROUTE_SHARE * part;
          changed = true;
        }
      }
    }
    double deviations = sumOfDeviations(shares.keySet());
    for (Map.Entry<String, RouteOutcomes> route : routes.entrySet()) {
      OutcomeCounts counts = route.getValue().total();
      double part = (counts.responses() + SMOOTHING) / responses;
      shares.putIfAbsent(route.getKey(), remaining * deviation(counts) / deviations / part);
    }
    return shares;
  }

  private double sumOfDeviations(Set<String> excluded) {
    double sum = 0;
    for (Map.Entry<String, RouteOutcomes> route : routes.entrySet()) {
      sum += excluded.contains(route.getKey()) ? 0 : deviation(route.getValue().total());
    }
    return sum;
  }

  private static double deviation(OutcomeCounts counts) {
    double rate = counts.currentFailed() / (counts.current() + SMOOTHING);
    double assumed = Math.max(MINIMUM_ASSUMED_RATE, rate);
    return Math.sqrt(assumed * (1 - assumed));
  }
}
