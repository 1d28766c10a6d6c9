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
 * <p>The time to the head of a generated answer grows with its prompt, so it is measured per token
 * of prompt. The bounds follow the measured times, so that a pool that is slow as a whole is not
 * asked everything twice. Owned by one event loop, not thread-safe.
 */
final class AnswerTimes {
  /** The weight of one measurement in the running means. */
  private static final double SMOOTHING = 0.05;

  /** Mean deviations above the mean from which on an answer counts as lost. */
  private static final double DEVIATIONS = 6;

  /**
   * The least patience for the head of an answer, as a share of the route's goal. Less than the
   * whole goal asks sound upstreams twice: half of it cost 0.048 of the worth of a quiet day.
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

  /**
   * The prompt tokens whose reading takes as long as the fixed part of a first token: 47 ms at 112
   * tokens a millisecond, from the sheets of the deployments' engines.
   */
  private static final int FIXED_TOKENS = 5000;

  /** The share of answers that are faster than what counts as the undisturbed time. */
  private static final double UNDISTURBED_QUANTILE = 0.2;

  /** How far one answer moves the undisturbed time, as a share of it. */
  private static final double QUANTILE_STEP = 0.05;

  private final InstantSource clock;
  private final Map<String, HeadEstimate> heads = new HashMap<>();
  private final Map<String, Estimate> pauses = new HashMap<>();

  /**
   * What an answer is measured by.
   *
   * @param route the route
   * @param model the model, empty for none
   * @param promptTokens the tokens of the prompt, 0 for none
   */
  record Kind(Route route, String model, int promptTokens) {
    /** Returns the group whose answers take the same time for the same size. */
    private String group() {
      return model.isEmpty() ? route.name() : model;
    }

    private double size() {
      return model.isEmpty() ? 1 : (double) (promptTokens + FIXED_TOKENS) / FIXED_TOKENS;
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

  /**
   * The time to the head of an answer: an undisturbed part that grows with the size, and a delay by
   * other requests that does not.
   */
  private final class HeadEstimate {
    private final Estimate delay = new Estimate();
    private double undisturbed;
    private boolean any;

    void add(double millis, double size) {
      double ratio = millis / size;
      if (!any) {
        any = true;
        undisturbed = ratio;
      } else {
        double step = undisturbed * QUANTILE_STEP;
        boolean below = ratio < undisturbed;
        undisturbed += below ? -step * (1 - UNDISTURBED_QUANTILE) : step * UNDISTURBED_QUANTILE;
      }
      delay.add(Math.max(0, millis - undisturbed * size));
    }

    double chanceWithin(double bound, double size) {
      return any ? delay.chanceBelow(bound - undisturbed * size) : 1;
    }

    Duration patience(double least, double size) {
      return delay.patience(least, undisturbed * size);
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
  double chanceOfHeadWithin(Kind kind, Duration time) {
    return head(kind).chanceWithin(time.toMillis(), kind.size());
  }

  /** Takes in how long an answer took to begin. */
  void headTook(Kind kind, Duration took) {
    head(kind).add(took.toMillis(), kind.size());
  }

  /** Takes in a pause between events. */
  void paused(Kind kind, long millis) {
    pause(kind).add(millis);
  }

  /** Returns how long to wait for an answer to begin. */
  Duration headPatience(Kind kind) {
    double least = LEAST_SHARE_OF_GOAL * kind.route().goalMillis();
    return head(kind).patience(least, kind.size());
  }

  /** Returns how long to wait for the next event. */
  Duration pausePatience(Kind kind) {
    double goal = kind.route().pauseGoalMillis();
    double least = goal > 0 ? LEAST_SHARE_OF_PAUSE * goal : LEAST_PAUSE_MILLIS;
    return pause(kind).patience(least, 0);
  }

  private HeadEstimate head(Kind kind) {
    return heads.computeIfAbsent(kind.group(), unused -> new HeadEstimate());
  }

  private Estimate pause(Kind kind) {
    return pauses.computeIfAbsent(kind.group(), unused -> new Estimate());
  }
}
