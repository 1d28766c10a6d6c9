// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.function.IntSupplier;

/**
 * Measures the prefill work that requests bring to engines, in milliseconds per second, at this
 * instance and at all others.
 *
 * <p>Invariants: work that arrives counts with a weight that decays with {@link #TIME_CONSTANT}, so
 * that a sum over instances is smooth although a single instance sends few requests a second. A
 * report of the others is valid for {@link #VALIDITY}; without one, each instance is assumed to
 * bring as much as this one. Owned by one event loop, not thread-safe.
 */
public final class PrefillWork {
  /** Covers several requests of an instance, and follows a load step within about two seconds. */
  private static final Duration TIME_CONSTANT = Duration.ofSeconds(2);

  /** Bridges some lost reports, which are sent at least twice a second. */
  private static final Duration VALIDITY = Duration.ofSeconds(3);

  private static final double MILLIS_PER_SECOND = 1000;

  private final Map<String, Rate> own = new HashMap<>();
  private final IntSupplier instances;
  private Map<String, Integer> others = Map.of();
  private Instant othersReceivedAt = Instant.EPOCH;

  private PrefillWork(IntSupplier instances) {
    this.instances = instances;
  }

  /**
   * Returns a meter without measurements.
   *
   * @param instances the number of instances believed to be alive, including this one
   */
  public static PrefillWork create(IntSupplier instances) {
    return new PrefillWork(instances);
  }

  /** An exponentially decaying rate, in milliseconds of work per second. */
  private static final class Rate {
    private double value;
    private double count;
    private Instant at;

    private Rate(Instant at) {
      this.at = at;
    }

    private double decay(Instant now) {
      double age = Math.max(0, Duration.between(at, now).toMillis());
      return Math.exp(-age / TIME_CONSTANT.toMillis());
    }

    double at(Instant now) {
      return value * decay(now);
    }

    void add(double millis, Instant now) {
      double perSecond = MILLIS_PER_SECOND / TIME_CONSTANT.toMillis();
      double decay = decay(now);
      value = value * decay + millis * perSecond;
      count = count * decay + perSecond;
      at = now;
    }

    double mean() {
      return value / count;
    }
  }

  /** Records work of a class of requests. */
  public void record(String requestClass, double millis, Instant now) {
    own.computeIfAbsent(requestClass, unused -> new Rate(now)).add(millis, now);
  }

  /** Returns the work that this instance brings, by class, rounded to milliseconds per second. */
  public Map<String, Integer> own(Instant now) {
    Map<String, Integer> rounded = new TreeMap<>();
    own.forEach(
        (requestClass, rate) -> {
          int millis = (int) Math.round(rate.at(now));
          if (millis > 0) {
            rounded.put(requestClass, millis);
          }
        });
    return rounded;
  }

  /** Replaces the work of all other instances. */
  public void applyReported(Map<String, Integer> millisPerSecond, Instant now) {
    others = millisPerSecond;
    othersReceivedAt = now;
  }

  /** Returns the age of the last report of the others. */
  public Duration ageOfReport(Instant now) {
    return Duration.between(othersReceivedAt, now);
  }

  /** Returns the mean work of the requests of this instance in a class, empty if there are none. */
  public OptionalDouble meanMillis(String requestClass) {
    Rate rate = own.get(requestClass);
    return rate == null ? OptionalDouble.empty() : OptionalDouble.of(rate.mean());
  }

  /** Returns the work of all instances in a class, in milliseconds per second. */
  public double total(String requestClass, Instant now) {
    Rate rate = own.get(requestClass);
    double ownMillis = rate == null ? 0 : rate.at(now);
    if (ageOfReport(now).compareTo(VALIDITY) > 0) {
      return ownMillis * Math.max(1, instances.getAsInt());
    }
    return ownMillis + others.getOrDefault(requestClass, 0);
  }
}
