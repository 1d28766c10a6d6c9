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
 * Estimates the time until responses begin and the pauses within them, and derives the timeouts
 * after which an upstream counts as lost.
 *
 * <p>The time to the head of a generated response is forecast, and the measurement is its delay
 * beyond the forecast. The timeouts follow the measured times, so that requests to a pool that is
 * slow as a whole are not all sent twice. Owned by one event loop, not thread-safe.
 */
final class ResponseTimes {
  /** Weight of one measurement in the exponential moving averages. */
  private static final double SMOOTHING = 0.05;

  /** Number of mean deviations above the mean after which a response counts as lost. */
  private static final double TIMEOUT_DEVIATIONS = 6;

  /**
   * Minimum timeout for the response head, relative to the route's goal. A timeout below the goal
   * would repeat requests to healthy upstreams.
   */
  private static final double MINIMUM_SHARE_OF_GOAL = 1.25;

  /** Minimum timeout between events, relative to the route's goal for pauses. */
  private static final double MINIMUM_SHARE_OF_PAUSE_GOAL = 1.25;

  /** Minimum timeout between events of a route without a goal for pauses, in milliseconds. */
  private static final double MINIMUM_PAUSE_TIMEOUT_MILLIS = 1500;

  /** Maximum timeout as a multiple of the larger of the minimum timeout and the mean. */
  private static final double MAXIMUM_TIMEOUT_FACTOR = 4;

  /** Time without a measurement after which the mean decays, and its time constant, in ms. */
  private static final double DECAY_MILLIS = 2000;

  /** Scale of a logistic distribution whose mean absolute deviation is 1. */
  private static final double LOGISTIC_SCALE = 0.72;

  private final InstantSource clock;
  private final Map<String, Estimate> delays = new HashMap<>();
  private final Map<String, Estimate> pauses = new HashMap<>();

  /**
   * The properties of a response that its times depend on.
   *
   * @param route the route
   * @param model the model, empty for none
   * @param expected the forecast time to the response head, zero without a forecast
   */
  record Key(Route route, String model, Duration expected) {
    /** Returns the name of the group of responses that share one estimate. */
    private String group() {
      return model.isEmpty() ? route.name() : model;
    }
  }

  /** An exponential moving average and mean absolute deviation, in milliseconds. */
  private final class Estimate {
    private Instant lastMeasuredAt = Instant.EPOCH;
    private double mean;
    private double deviation;
    private boolean measured;

    void add(double millis) {
      lastMeasuredAt = clock.instant();
      if (!measured) {
        measured = true;
        mean = millis;
        deviation = millis / 2;
        return;
      }
      deviation += SMOOTHING * (Math.abs(millis - mean) - deviation);
      mean += SMOOTHING * (millis - mean);
    }

    /** Returns the probability that the next value is below the bound, assumed to be logistic. */
    double probabilityBelow(double bound) {
      if (!measured) {
        return bound > 0 ? 1 : 0;
      }
      double age = Duration.between(lastMeasuredAt, clock.instant()).toMillis();
      double decay = Math.exp(-Math.max(0, age - DECAY_MILLIS) / DECAY_MILLIS);
      double scale = Math.max(1, deviation * LOGISTIC_SCALE);
      return 1 / (1 + Math.exp((mean * decay - bound) / scale));
    }

    /** Returns the timeout for an event that takes the forecast time plus the estimated time. */
    Duration timeout(double minimum, double forecast) {
      double uncapped = forecast + mean + TIMEOUT_DEVIATIONS * deviation;
      double maximum = MAXIMUM_TIMEOUT_FACTOR * Math.max(minimum, forecast + mean);
      return Duration.ofMillis((long) Math.min(maximum, Math.max(minimum, uncapped)));
    }
  }

  private ResponseTimes(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns an estimator without measurements. */
  static ResponseTimes create(InstantSource clock) {
    return new ResponseTimes(clock);
  }

  /**
   * Returns the probability that a response begins within the time. Before the first measurement
   * the forecast alone decides.
   *
   * <p>The mean decays with the age of the last measurement, so that a model that was avoided
   * because it was slow is tried again.
   */
  double probabilityOfHeadWithin(Key key, Duration time) {
    return delayEstimate(key).probabilityBelow(time.minus(key.expected()).toMillis());
  }

  /** Records the time until a response began. */
  void recordHeadTime(Key key, Duration elapsed) {
    delayEstimate(key).add(Math.max(0, elapsed.minus(key.expected()).toMillis()));
  }

  /** Records a pause between events, in milliseconds. */
  void recordPause(Key key, long millis) {
    pauseEstimate(key).add(millis);
  }

  /** Returns the timeout until a response begins. */
  Duration headTimeout(Key key) {
    double minimum = MINIMUM_SHARE_OF_GOAL * key.route().goalMillis();
    return delayEstimate(key).timeout(minimum, key.expected().toMillis());
  }

  /** Returns the timeout until the next event. */
  Duration pauseTimeout(Key key) {
    double goal = key.route().pauseGoalMillis();
    double minimum = goal > 0 ? MINIMUM_SHARE_OF_PAUSE_GOAL * goal : MINIMUM_PAUSE_TIMEOUT_MILLIS;
    return pauseEstimate(key).timeout(minimum, 0);
  }

  private Estimate delayEstimate(Key key) {
    return delays.computeIfAbsent(key.group(), unused -> new Estimate());
  }

  private Estimate pauseEstimate(Key key) {
    return pauses.computeIfAbsent(key.group(), unused -> new Estimate());
  }
}
