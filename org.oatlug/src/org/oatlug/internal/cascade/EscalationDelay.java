// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.cascade;

/**
 * Weighs the delay that the prefill of a larger model causes to other requests, against the value
 * of the better response.
 *
 * <p>Load pattern: the most urgent requests have the longest prompts. A fixed weight takes every
 * engine for busy and every delayed request for as valuable as the one that is escalated, so the
 * urgent requests keep the responses of the smallest model even while engines are idle. Stateless,
 * thread-safe.
 */
public final class EscalationDelay {
  /**
   * The utilization of engines by prefills at which an escalation delays other requests fully. A
   * request that arrives at a random time finds a busier engine occupied more often than not.
   */
  private static final double FULL_DELAY_UTILIZATION = 0.5;

  private EscalationDelay() {}

  /**
   * Returns the weight of the delay, 0 to 1.
   *
   * @param utilization the share of the time in which the engines prefill
   * @param urgentShare the share of the prefill work that is at least as urgent as the request; a
   *     delay of less urgent work does not count
   */
  public static double weight(double utilization, double urgentShare) {
    double busy = Math.min(1, Math.max(0, utilization) / FULL_DELAY_UTILIZATION);
    return busy * Math.min(1, Math.max(0, urgentShare));
  }
}
