// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.oatlug.config.Workspace;

/**
 * Limits the request rates of workspaces, split over the instances by their demand.
 *
 * <p>The part of an instance is its lowest demand within the time that a report takes, over that
 * demand plus the reported one of all others. These parts add up to at most one, as the others'
 * reported demand is at least their lowest within that time. The headroom is split evenly, so that
 * an instance whose demand the others do not know yet has a part as well.
 *
 * <p>Invariants: instances that hear a majority of all have the whole rate together; a smaller
 * group has the part of its size. So within any span all instances together grant at most the rate
 * with headroom times the span plus the burst of a bucket at each; twice the rate in place of the
 * rate while groups do not hear each other; for as long as {@link #REMEMBERED} the size of all is
 * known. Owned by one event loop, not thread-safe.
 */
public final class WorkspaceLimits {
  private static final double HEADROOM = 1.2;

  /**
   * The factor for rates of under a token a second, whose buckets grant whole tokens: 95 instances
   * granted 127 requests in 20 s in place of 120, by chance.
   */
  private static final double FRACTION_FACTOR = 0.92;

  /** The time for which a report of the others is valid. */
  private static final Duration VALIDITY = DemandMeter.REPORT_DELAY;

  /** The maximum time until a refused caller is told to retry: the demand is then known to all. */
  private static final Duration MAXIMUM_WAIT = DemandMeter.REPORT_DELAY;

  /**
   * The time for which the highest number of live instances counts: the instances of a partitioned
   * group soon consider the others dead.
   */
  static final Duration REMEMBERED = Duration.ofMinutes(10);

  private final Map<String, TokenBucket> buckets = new HashMap<>();
  private final DemandMeter meter = DemandMeter.create();
  private final IntSupplier instances;
  private final RandomGenerator random;
  private OthersDemand others = OthersDemand.NONE;
  private int highest;
  private int highestBefore;
  private Instant highestSince = Instant.EPOCH;

  /** Demand of the other instances as of a report. */
  private record OthersDemand(
      Map<String, Double> demand, boolean isComplete, int instances, Instant at) {
    static final OthersDemand NONE = new OthersDemand(Map.of(), true, 0, Instant.EPOCH);
  }

  private WorkspaceLimits(IntSupplier instances, RandomGenerator random) {
    this.instances = instances;
    this.random = random;
  }

  /** Returns limits that are split over the supplied number of live instances. */
  public static WorkspaceLimits create(IntSupplier instances, RandomGenerator random) {
    return new WorkspaceLimits(instances, random);
  }

  /** Admits a request and returns empty, or returns the time until the next is admitted. */
  public Optional<Duration> take(String name, Workspace workspace, Instant now) {
    meter.record(name, 1, now);
    double split = workspace.requestsPerSecond() * partOf(name, now);
    double rate = split < 1 ? split * FRACTION_FACTOR : split;
    TokenBucket bucket =
        buckets.computeIfAbsent(name, unused -> TokenBucket.full(rate, Instant.EPOCH));
    // A bucket of less than a token a second holds a whole one, so at many instances the tokens of
    // a second are more than the rate, and would be so again and again if they stayed in phase.
    double extra = rate < 1 ? random.nextDouble() : 0;
    if (bucket.take(rate, now, extra)) {
      return Optional.empty();
    }
    Duration wait = bucket.untilNext(rate);
    return Optional.of(wait.compareTo(MAXIMUM_WAIT) < 0 ? wait : MAXIMUM_WAIT);
  }

  /** Returns the part of the rate that this instance may grant, headroom included. */
  private double partOf(String name, Instant now) {
    OthersDemand heard = now.isAfter(others.at().plus(VALIDITY)) ? OthersDemand.NONE : others;
    int group = heard.instances() + 1;
    int all = Math.max(group, knownInstances(now));
    double even = 1.0 / all;
    double own = meter.demandOf(name).least();
    double sum = own + heard.demand().getOrDefault(name, 0.0);
    boolean isUnlisted = !heard.isComplete() && !heard.demand().containsKey(name);
    if (sum == 0 || isUnlisted) {
      return HEADROOM * even;
    }
    double available = 2 * group > all ? 1 : group * even;
    return available * own / sum + (HEADROOM - 1) * even;
  }

  /** Returns the highest number of live instances within the remembered time. */
  private int knownInstances(Instant now) {
    if (!now.isBefore(highestSince.plus(REMEMBERED.dividedBy(2)))) {
      highestBefore = highest;
      highest = 0;
      highestSince = now;
    }
    highest = Math.max(highest, instances.getAsInt());
    return Math.max(1, Math.max(highest, highestBefore));
  }

  /** Returns the demand at this instance in requests per second, by workspace. */
  public Map<String, Double> demand(Instant now) {
    meter.advance(now);
    Map<String, Double> demand = new TreeMap<>();
    meter.demands().forEach((name, measured) -> demand.put(name, measured.demand()));
    return demand;
  }

  /**
   * Applies the demand of the other instances.
   *
   * @param demand the requests per second by workspace
   * @param isComplete whether no workspace was left out
   * @param reporters the number of instances that it is the sum of
   */
  public void applyReported(
      Map<String, Double> demand, boolean isComplete, int reporters, Instant now) {
    others = new OthersDemand(Map.copyOf(demand), isComplete, reporters, now);
  }
}
