// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

/**
 * Decides which share of the engines of a service is reserved for deferrable requests.
 *
 * <p>Load pattern: requests with long prompts and a long latency goal arrive at several times their
 * usual rate. An engine that has begun the prefill of such a prompt delays the short prompts that
 * follow for hundreds of milliseconds, whatever their priority, and instances learn of it too late
 * to avoid the engine. With engines of their own, long prompts queue behind each other, for which
 * their goal leaves time, and the others find engines without long prompts.
 *
 * <p>Invariants: a reservation leaves at least {@link #MINIMUM_SHARE} of the engines to either
 * class of requests, and to the deferrable ones at least half of the share that their work has in
 * all work, so that they are not starved. Not thread-safe.
 */
public final class EngineReservation {
  /**
   * Utilization of the engines of either class by prefills. An engine that prefills most of the
   * time delays each token of the streams that it generates, and streams then pause for longer than
   * their callers accept.
   */
  static final double MAXIMUM_UTILIZATION = 0.5;

  /** Share of the capacity of all engines below which long prompts rarely delay other requests. */
  static final double BUSY_UTILIZATION = 0.25;

  /**
   * How much longer deferrable prefills have to be than others. Short ones hardly delay others, so
   * that a reservation would only leave fewer engines to each class.
   */
  public static final double MINIMUM_LENGTH_RATIO = 2;

  /** Share of the engines that either class keeps. */
  static final double MINIMUM_SHARE = 0.1;

  /** Change of the need below which the share stays, because each change moves cached prompts. */
  static final double HYSTERESIS = 0.1;

  private static final double MILLIS_PER_SECOND = 1000;

  private double share;

  private EngineReservation() {}

  /** Returns the reservation of a service, with no reserved engines. */
  public static EngineReservation create() {
    return new EngineReservation();
  }

  /**
   * The prefill work that arrives at the engines of a service.
   *
   * @param deferrableMillis the work of deferrable requests, in milliseconds per second
   * @param otherMillis the work of the other requests, in milliseconds per second
   * @param engines the number of engines
   * @param lengthRatio the mean prefill time of a deferrable request, relative to that of another
   */
  public record Work(double deferrableMillis, double otherMillis, int engines, double lengthRatio) {
    double utilization() {
      return engines <= 0 ? 0 : (deferrableMillis + otherMillis) / (engines * MILLIS_PER_SECOND);
    }
  }

  /** Updates the reservation; returns whether its share has changed. */
  public boolean update(Work work) {
    double need = needOf(work);
    boolean changed =
        need == 0 ? share != 0 : share == 0 || Math.abs(need - share) > HYSTERESIS * share;
    if (changed) {
      share = need;
    }
    return changed;
  }

  private double needOf(Work work) {
    // Half of the threshold ends a reservation, so that it does not switch on and off.
    double threshold = share > 0 ? BUSY_UTILIZATION / 2 : BUSY_UTILIZATION;
    boolean isLonger = work.lengthRatio() >= MINIMUM_LENGTH_RATIO;
    if (!isLonger || work.deferrableMillis() <= 0 || work.utilization() < threshold) {
      return 0;
    }
    double deferrable = work.deferrableMillis() / (work.engines() * MILLIS_PER_SECOND);
    double other = work.otherMillis() / (work.engines() * MILLIS_PER_SECOND);
    // Short capacity goes to urgent requests first; deferrable ones keep half of their share.
    double leftByOthers = 1 - other / MAXIMUM_UTILIZATION;
    double guaranteed = deferrable / (deferrable + other) / 2;
    double maximum = Math.min(Math.max(leftByOthers, guaranteed), 1 - MINIMUM_SHARE);
    return Math.max(MINIMUM_SHARE, Math.min(deferrable / MAXIMUM_UTILIZATION, maximum));
  }

  /** Returns the share of the engines that is reserved, 0 for no reservation. */
  public double share() {
    return share;
  }

  /**
   * Returns how many engines of a group are reserved: none if the group has a single engine or
   * there is no reservation.
   */
  public int reservedOf(int engines) {
    if (share == 0 || engines < 2) {
      return 0;
    }
    return (int) Math.max(1, Math.min(engines - 1L, Math.round(share * engines)));
  }
}
