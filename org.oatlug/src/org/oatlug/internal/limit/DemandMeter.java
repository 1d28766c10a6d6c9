// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Measures the demand of workspaces at this instance, in steps of a fixed length.
 *
 * <p>Invariants: memory is bounded; of more workspaces than fit, those of the highest demand are
 * kept, and a workspace that replaces another continues with the values of that one (space-saving
 * algorithm). A clock that goes back has no effect. Owned by one event loop, not thread-safe.
 */
final class DemandMeter {
  /** The length of a step. */
  static final Duration STEP = Duration.ofMillis(250);

  /** The span of {@link Demand#least}: a report reaches all instances within it. */
  static final Duration REPORT_DELAY = Duration.ofSeconds(2);

  /** The time constant of the current demand. */
  static final Duration DEMAND_SPAN = Duration.ofSeconds(3);

  /** The time constant of the usual demand. */
  private static final Duration USUAL_SPAN = Duration.ofSeconds(30);

  /**
   * The time constant of the usual demand of a workspace beyond its share. With half a minute, a
   * jump to six times the demand is within the tolerance of twice the share after 20 s.
   */
  private static final Duration JUMP_SPAN = Duration.ofSeconds(120);

  private static final int HISTORY = (int) REPORT_DELAY.dividedBy(STEP);

  /** Four times the workspaces of a report; a deployment has a few dozen. */
  private static final int MAXIMUM_WORKSPACES = 256;

  /** Below this demand and usual demand, in work per second, a workspace is dropped. */
  private static final double NEGLIGIBLE = 0.001;

  private static final double STEP_SECONDS = STEP.toMillis() / 1000.0;
  private static final double DEMAND_DECAY = decay(DEMAND_SPAN);
  private static final double USUAL_DECAY = decay(USUAL_SPAN);
  private static final double JUMP_DECAY = decay(JUMP_SPAN);

  private final Map<String, Meter> meters = new HashMap<>();
  private Optional<Instant> stepStart = Optional.empty();
  private long steps;

  /**
   * Demand of a workspace, in work per second.
   *
   * @param demand the mean over the last seconds
   * @param usual the mean over half a minute, or since the start of the instance if that is shorter
   * @param least the lowest value of {@code demand} within {@link #REPORT_DELAY}
   */
  record Demand(double demand, double usual, double least) {
    static final Demand NONE = new Demand(0, 0, 0);
  }

  /** Moving means of one workspace. */
  private static final class Meter {
    private final double[] history = new double[HISTORY];
    private double pending;
    private double demand;
    private double usual;

    /** The part of the usual mean that the time since the first step covers. */
    private double covered;

    Meter(double covered) {
      this.covered = covered;
    }

    void inherit(Meter other) {
      demand = other.demand;
      usual = other.usual;
      covered = other.covered;
      System.arraycopy(other.history, 0, history, 0, HISTORY);
    }

    double size() {
      return demand + usual + pending;
    }

    /** Ends a step with the pending work, and {@code idleSteps} further ones without any. */
    void end(long step, long idleSteps, double usualDecay) {
      double work = pending / STEP_SECONDS;
      pending = 0;
      demand += (1 - DEMAND_DECAY) * (work - demand);
      usual += (1 - usualDecay) * (work - usual);
      covered += (1 - usualDecay) * (1 - covered);
      history[(int) (step % HISTORY)] = demand;
      if (idleSteps > 0) {
        demand *= Math.pow(DEMAND_DECAY, idleSteps);
        usual *= Math.pow(usualDecay, idleSteps);
        covered = 1 - (1 - covered) * Math.pow(usualDecay, idleSteps);
        for (long index = 1; index <= Math.min(idleSteps, HISTORY); index++) {
          history[(int) ((step + index) % HISTORY)] = demand;
        }
      }
    }

    Demand read() {
      double mean = covered > 0 ? usual / covered : 0;
      return new Demand(demand, mean, Arrays.stream(history).min().orElseThrow());
    }
  }

  private DemandMeter() {}

  /** Returns a meter without observations. */
  static DemandMeter create() {
    return new DemandMeter();
  }

  private static double decay(Duration span) {
    return Math.exp(-STEP_SECONDS * 1000 / span.toMillis());
  }

  /** Records work that a workspace asks for; it counts from the end of the current step. */
  void record(String workspace, double work, Instant now) {
    advance(now);
    Meter meter = meters.get(workspace);
    if (meter == null) {
      meter = add(workspace);
    }
    meter.pending += work;
  }

  private Meter add(String workspace) {
    Meter added = new Meter(1 - Math.pow(USUAL_DECAY, steps));
    if (meters.size() >= MAXIMUM_WORKSPACES) {
      String lowest =
          Collections.min(
                  meters.entrySet(), Comparator.comparingDouble(entry -> entry.getValue().size()))
              .getKey();
      added.inherit(meters.remove(lowest));
    }
    meters.put(workspace, added);
    return added;
  }

  /** Ends the steps that have passed; returns whether there were any. */
  boolean advance(Instant now) {
    return advance(now, Set.of());
  }

  /** Does the same; the demand of the {@code jumping} workspaces becomes usual more slowly. */
  boolean advance(Instant now, Set<String> jumping) {
    Instant start = stepStart.orElse(now);
    long passed = Duration.between(start, now).dividedBy(STEP);
    stepStart = Optional.of(passed > 0 ? start.plus(STEP.multipliedBy(passed)) : start);
    if (passed <= 0) {
      return false;
    }
    for (Map.Entry<String, Meter> entry : meters.entrySet()) {
      double usualDecay = jumping.contains(entry.getKey()) ? JUMP_DECAY : USUAL_DECAY;
      entry.getValue().end(steps, passed - 1, usualDecay);
    }
    steps += passed;
    meters.values().removeIf(meter -> meter.demand < NEGLIGIBLE && meter.usual < NEGLIGIBLE);
    return true;
  }

  /** Returns the demand of a workspace at the end of the last step. */
  Demand demandOf(String workspace) {
    Meter meter = meters.get(workspace);
    return meter == null ? Demand.NONE : meter.read();
  }

  /** Returns the demand of all workspaces at the end of the last step. */
  Map<String, Demand> demands() {
    Map<String, Demand> demands = new TreeMap<>();
    meters.forEach((name, meter) -> demands.put(name, meter.read()));
    return demands;
  }

  /** Returns the time since the first step. */
  Duration measuredFor() {
    return STEP.multipliedBy(steps);
  }
}
