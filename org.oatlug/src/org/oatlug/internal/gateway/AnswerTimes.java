// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import org.oatlug.gateway.Route;

/**
 * How long answers of a route and model usually take to begin and pause, and from when on silence
 * means that the upstream is lost.
 *
 * <p>The bounds follow the measured times, so that a pool that is slow as a whole is not asked
 * everything twice. Owned by one event loop, not thread-safe.
 */
final class AnswerTimes {
  private static final double SMOOTHING = 0.05;

  /** Mean deviations above the mean from which on an answer counts as lost. */
  private static final double DEVIATIONS = 6;

  /** The least patience for the head of an answer, as a share of the route's goal. */
  private static final double LEAST_SHARE_OF_GOAL = 0.5;

  /** The least patience between events, as a share of the route's longest good pause. */
  private static final double LEAST_SHARE_OF_PAUSE = 0.5;

  /** The least patience between events of a route without a goal for pauses, in milliseconds. */
  private static final double LEAST_PAUSE_MILLIS = 600;

  /** The longest patience, in multiples of the least one. */
  private static final double LONGEST = 4;

  /** After this time without a measurement its mean begins to fade, in milliseconds. */
  private static final double FADES_AFTER_MILLIS = 2000;

  /** The scale of a logistic distribution for a mean absolute deviation of one. */
  private static final double SCALE_OF_DEVIATION = 0.72;

  private final InstantSource clock;
  private final Map<String, Estimate> heads = new HashMap<>();
  private final Map<String, Estimate> pauses = new HashMap<>();

  /** A running mean and mean deviation, in milliseconds. */
  private final class Estimate {
    private Instant last = Instant.EPOCH;
    private double mean;
    private double deviation;
    private boolean any;

    void add(double millis) {
      last = clock.instant();
      if (!any) {
        any = true;
        mean = millis;
        deviation = millis / 2;
        return;
      }
      deviation += SMOOTHING * (Math.abs(millis - mean) - deviation);
      mean += SMOOTHING * (millis - mean);
    }

    /** Returns the chance that the next one is below the bound, by a logistic distribution. */
    double chanceBelow(double bound) {
      if (!any) {
        return 1;
      }
      double age = Duration.between(last, clock.instant()).toMillis();
      double fading = Math.exp(-Math.max(0, age - FADES_AFTER_MILLIS) / FADES_AFTER_MILLIS);
      double scale = Math.max(1, deviation * SCALE_OF_DEVIATION);
      return 1 / (1 + Math.exp((mean * fading - bound) / scale));
    }

    double lostAfter() {
      return mean + DEVIATIONS * deviation;
    }
  }

  private AnswerTimes(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns times without any measurement. */
  static AnswerTimes create(InstantSource clock) {
    return new AnswerTimes(clock);
  }

  /**
   * Returns the chance that an answer begins within the time; 1 before the first measurement.
   *
   * <p>A measurement that was long ago counts for less, so that a model that nobody asks because it
   * was slow is tried again.
   */
  double chanceOfHeadWithin(Route route, String model, Duration time) {
    return estimate(heads, route, model).chanceBelow(time.toMillis());
  }

  /** Takes in how long an answer took to begin. */
  void headTook(Route route, String model, Duration took) {
    estimate(heads, route, model).add(took.toMillis());
  }

  /** Takes in a pause between events. */
  void paused(Route route, String model, long millis) {
    estimate(pauses, route, model).add(millis);
  }

  /** Returns how long to wait for an answer to begin. */
  Duration headPatience(Route route, String model) {
    double least = LEAST_SHARE_OF_GOAL * route.goalMillis();
    return bounded(least, estimate(heads, route, model).lostAfter());
  }

  /** Returns how long to wait for the next event. */
  Duration pausePatience(Route route, String model) {
    double goal = route.pauseGoalMillis();
    double least = goal > 0 ? LEAST_SHARE_OF_PAUSE * goal : LEAST_PAUSE_MILLIS;
    return bounded(least, estimate(pauses, route, model).lostAfter());
  }

  private static Duration bounded(double least, double wanted) {
    double millis = Math.min(LONGEST * least, Math.max(least, wanted));
    return Duration.ofMillis((long) millis);
  }

  private Estimate estimate(Map<String, Estimate> estimates, Route route, String model) {
    return estimates.computeIfAbsent(route.name() + " " + model, unused -> new Estimate());
  }
}
