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
 * How long answers usually take to begin and pause, and from when on silence means that the
 * upstream is lost.
 *
 * <p>The time to the head of a generated answer is forecast; measured is by how much it comes
 * later. The bounds follow the measured times, so that a pool that is slow as a whole is not asked
 * everything twice. Owned by one event loop, not thread-safe.
 */
final class AnswerTimes {
  /** The weight of one measurement in the running means. */
  private static final double SMOOTHING = 0.05;

  /** Mean deviations above the mean from which on an answer counts as lost. */
  private static final double DEVIATIONS = 6;

  /**
   * The least patience for the head of an answer, as a share of the route's goal. Less than the
   * whole goal asks sound upstreams twice.
   */
  private static final double LEAST_SHARE_OF_GOAL = 1.25;

  /** The least patience between events, as a share of the route's longest good pause. */
  private static final double LEAST_SHARE_OF_PAUSE = 1.25;

  /** The least patience between events of a route without a goal for pauses, in milliseconds. */
  private static final double LEAST_PAUSE_MILLIS = 1500;

  /** The longest patience, in multiples of the larger of the least one and the mean. */
  private static final double LONGEST = 4;

  /** After this time without a measurement its mean begins to fade, in milliseconds. */
  private static final double FADES_AFTER_MILLIS = 2000;

  /** The scale of a logistic distribution for a mean absolute deviation of one. */
  private static final double SCALE_OF_DEVIATION = 0.72;

  private final InstantSource clock;
  private final Map<String, Estimate> delays = new HashMap<>();
  private final Map<String, Estimate> pauses = new HashMap<>();

  /**
   * What an answer is measured by.
   *
   * @param route the route
   * @param model the model, empty for none
   * @param expected the time to the head that was forecast, zero if none was
   */
  record Kind(Route route, String model, Duration expected) {
    /** Returns the group whose answers are late by the same time. */
    private String group() {
      return model.isEmpty() ? route.name() : model;
    }
  }

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
        return bound > 0 ? 1 : 0;
      }
      double age = Duration.between(last, clock.instant()).toMillis();
      double fading = Math.exp(-Math.max(0, age - FADES_AFTER_MILLIS) / FADES_AFTER_MILLIS);
      double scale = Math.max(1, deviation * SCALE_OF_DEVIATION);
      return 1 / (1 + Math.exp((mean * fading - bound) / scale));
    }

    /** Returns how long to wait for one that takes a known time besides what is measured. */
    Duration patience(double least, double known) {
      double wanted = known + mean + DEVIATIONS * deviation;
      double longest = LONGEST * Math.max(least, known + mean);
      return Duration.ofMillis((long) Math.min(longest, Math.max(least, wanted)));
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
   * Returns the chance that an answer begins within the time; before the first measurement the
   * forecast is believed.
   *
   * <p>A measurement that was long ago counts for less, so that a model that nobody asks because it
   * was slow is tried again.
   */
  double chanceOfHeadWithin(Kind kind, Duration time) {
    return delay(kind).chanceBelow(time.minus(kind.expected()).toMillis());
  }

  /** Takes in how long an answer took to begin. */
  void headTook(Kind kind, Duration took) {
    delay(kind).add(Math.max(0, took.minus(kind.expected()).toMillis()));
  }

  /** Takes in a pause between events. */
  void paused(Kind kind, long millis) {
    pause(kind).add(millis);
  }

  /** Returns how long to wait for an answer to begin. */
  Duration headPatience(Kind kind) {
    double least = LEAST_SHARE_OF_GOAL * kind.route().goalMillis();
    return delay(kind).patience(least, kind.expected().toMillis());
  }

  /** Returns how long to wait for the next event. */
  Duration pausePatience(Kind kind) {
    double goal = kind.route().pauseGoalMillis();
    double least = goal > 0 ? LEAST_SHARE_OF_PAUSE * goal : LEAST_PAUSE_MILLIS;
    return pause(kind).patience(least, 0);
  }

  private Estimate delay(Kind kind) {
    return delays.computeIfAbsent(kind.group(), unused -> new Estimate());
  }

  private Estimate pause(Kind kind) {
    return pauses.computeIfAbsent(kind.group(), unused -> new Estimate());
  }
}
