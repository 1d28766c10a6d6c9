// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import com.google.common.collect.Maps;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.ToDoubleFunction;
import org.oatlug.internal.limit.DemandMeter.Demand;
import org.oatlug.internal.metrics.Meters;

/**
 * Shares capacity between workspaces while it is short: a workspace whose demand at all instances
 * together is beyond its share ({@link FairShares}) is held back in favour of the others.
 *
 * <p>Invariants: while capacity is not short, nothing is held back; memory and the time of a
 * decision are bounded; the shares are computed once in each step of the measured demand. An
 * instance that hears no others uses its own demand against its own usual demand, and a workspace
 * has then at most twice its share. Owned by one event loop, not thread-safe.
 */
public final class WorkspaceShares implements ShareRule {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The name of the workspaces that are reported as one. */
  private static final String OTHERS = "";

  /** The time for which the demand of the others is valid: a few message intervals. */
  private static final Duration VALIDITY = Duration.ofSeconds(3);

  /** The time for which the usual demand of others is remembered once they are not heard. */
  private static final Duration REMEMBERED = Duration.ofMinutes(1);

  /** The time after the start in which the usual demand is not known well enough. */
  private static final Duration LEARNING = Duration.ofSeconds(5);

  /** The part of its share by which a workspace may exceed it. */
  private static final double TOLERANCE = 0.25;

  /** The standard deviations of the measured demand by which a workspace may exceed its share. */
  private static final double DEVIATIONS = 3;

  /** The part of the tolerance below which a workspace returns within its share. */
  private static final double RETURN = 0.5;

  /** The weight of a request in the mean size of requests. */
  private static final double SIZE_WEIGHT = 0.01;

  /** The minimum interval between log lines, in milliseconds. */
  private static final int LOG_PERIOD_MILLIS = 20;

  private final BooleanSupplier isInUse;
  private final BooleanSupplier isCapacityShort;
  private final ToDoubleFunction<String> weights;
  private final Meters meters;
  private final DemandMeter meter = DemandMeter.create();
  private final Set<String> beyond = new TreeSet<>();
  private OthersDemand others = OthersDemand.NONE;
  private Map<String, Demand> joined = Map.of();
  private double meanWork;
  private double meanSquare;

  /**
   * Demand of a workspace, in work per second.
   *
   * @param demand the work that its callers ask for now
   * @param usual the work that they usually ask for
   */
  public record Load(double demand, double usual) {}

  /** Demand of the other instances as of a report. */
  private record OthersDemand(Map<String, Load> loads, int instances, Instant at) {
    static final OthersDemand NONE = new OthersDemand(Map.of(), 0, Instant.EPOCH);
  }

  private WorkspaceShares(
      BooleanSupplier isInUse,
      BooleanSupplier isCapacityShort,
      ToDoubleFunction<String> weights,
      Meters meters) {
    this.isInUse = isInUse;
    this.isCapacityShort = isCapacityShort;
    this.weights = weights;
    this.meters = meters;
  }

  /**
   * Returns shares without observations.
   *
   * @param isInUse whether the settings and the configuration call for shares
   * @param isCapacityShort whether requests wait for capacity
   * @param weights the configured weight of a workspace, positive
   */
  public static WorkspaceShares create(
      BooleanSupplier isInUse,
      BooleanSupplier isCapacityShort,
      ToDoubleFunction<String> weights,
      Meters meters) {
    return new WorkspaceShares(isInUse, isCapacityShort, weights, meters);
  }

  /** Returns whether demand is measured and reported. */
  public boolean isInUse() {
    return isInUse.getAsBoolean();
  }

  /** Records a request that arrived at this instance from a caller. */
  public void recordDemand(String workspace, double work, Instant now) {
    if (!isInUse()) {
      return;
    }
    update(now);
    meter.record(workspace, work, now);
    meanWork += SIZE_WEIGHT * (work - meanWork);
    meanSquare += SIZE_WEIGHT * (work * work - meanSquare);
  }

  @Override
  public boolean isBeyondShare(String workspace, Instant now) {
    if (!isInUse() || !isCapacityShort.getAsBoolean()) {
      return false;
    }
    update(now);
    boolean isBeyond = beyond.contains(joined.containsKey(workspace) ? workspace : OTHERS);
    meters.count(isBeyond ? "shares.request-beyond" : "shares.request-within");
    return isBeyond;
  }

  /** Returns the demand at this instance, to be reported to the others. */
  public Map<String, Load> observed(Instant now) {
    update(now);
    Map<String, Load> loads = new TreeMap<>();
    meter.demands().forEach((name, own) -> loads.put(name, new Load(own.demand(), own.usual())));
    return loads;
  }

  /**
   * Applies the demand of the other instances.
   *
   * @param loads the demand by workspace; the empty name stands for all that are not listed
   * @param reporters the number of instances that it is the sum of
   */
  public void applyReported(Map<String, Load> loads, int reporters, Instant now) {
    others = new OthersDemand(Map.copyOf(loads), reporters, now);
  }

  /** Computes which workspaces are beyond their share, if a step of the demand has ended. */
  private void update(Instant now) {
    if (!meter.advance(now, beyond)) {
      return;
    }
    boolean isHeard = others.instances() > 0 && !now.isAfter(others.at().plus(VALIDITY));
    joined = isHeard ? joinOthers() : ownAgainstLastUsual(now);
    // At one instance alone most workspaces have no request in the last seconds, so what they seem
    // to leave is no measure of what others may take.
    Map<String, Double> shares =
        isHeard ? FairShares.of(joined, weights) : Maps.transformValues(joined, Demand::usual);
    if (meter.measuredFor().compareTo(LEARNING) < 0) {
      return;
    }
    beyond.removeIf(name -> !joined.containsKey(name));
    String age = isHeard ? Duration.between(others.at(), now).toMillis() + "ms" : "none";
    joined.forEach((name, demand) -> updateState(name, demand, shares.get(name), isHeard, age));
  }

  /** Returns the demand at all instances together. */
  private Map<String, Demand> joinOthers() {
    Map<String, Demand> sum = meter.demands();
    others
        .loads()
        .forEach(
            (name, load) ->
                sum.merge(
                    name,
                    new Demand(load.demand(), load.usual(), 0),
                    (own, other) ->
                        new Demand(own.demand() + other.demand(), own.usual() + other.usual(), 0)));
    return sum;
  }

  /**
   * Returns the own demand, with a usual demand that is split between workspaces as that of all
   * instances was when they were last heard: the requests of a workspace at one instance alone may
   * be too few to tell what is usual.
   */
  private Map<String, Demand> ownAgainstLastUsual(Instant now) {
    Map<String, Demand> own = meter.demands();
    if (others.instances() == 0 || now.isAfter(others.at().plus(REMEMBERED))) {
      return own;
    }
    Map<String, Demand> all = joinOthers();
    double part = totalUsual(own) / Math.max(Double.MIN_NORMAL, totalUsual(all));
    own.replaceAll((name, demand) -> new Demand(demand.demand(), all.get(name).usual() * part, 0));
    return own;
  }

  private static double totalUsual(Map<String, Demand> demands) {
    return demands.values().stream().mapToDouble(Demand::usual).sum();
  }

  private void updateState(String name, Demand demand, double share, boolean isHeard, String age) {
    double tolerance = tolerance(share, isHeard);
    boolean wasBeyond = beyond.contains(name);
    boolean isBeyond = demand.demand() > share + tolerance * (wasBeyond ? RETURN : 1);
    if (isBeyond == wasBeyond) {
      return;
    }
    if (isBeyond) {
      beyond.add(name);
    } else {
      beyond.remove(name);
    }
    meters.count(isBeyond ? "shares.workspace-beyond" : "shares.workspace-returned");
    logger.atInfo().atMostEvery(LOG_PERIOD_MILLIS, TimeUnit.MILLISECONDS).log(
        "workspace %s is %s its share, demand=%.1f usual=%.1f share=%.1f age=%s",
        name, isBeyond ? "beyond" : "within", demand.demand(), demand.usual(), share, age);
  }

  /**
   * Returns the work per second by which demand may exceed a share. The measured demand of a few
   * requests varies by chance: its variance is the demand times the mean size of a request,
   * weighted by size, over twice the span. At one instance alone that may be many times the share.
   */
  private double tolerance(double share, boolean isHeard) {
    double size = meanWork > 0 ? meanSquare / meanWork : 0;
    double spanSeconds = DemandMeter.DEMAND_SPAN.toMillis() / 1000.0;
    double deviation = Math.sqrt(share * size / (2 * spanSeconds));
    double tolerance = Math.max(TOLERANCE * share, DEVIATIONS * deviation);
    return isHeard ? tolerance : Math.min(tolerance, share);
  }
}
