// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.rollout;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.function.BinaryOperator;

/**
 * Counts of the responses on one route, by periods of a roll-out. Immutable, thread-safe.
 *
 * <p>Periods keep responses of both versions under the same conditions together, as the share of
 * the candidate changes over time, and so may the failure rate of both versions.
 *
 * @param before the counts before the order, of other versions than the candidate only
 * @param periods the counts of the equal periods of the duration, first to last; trailing periods
 *     without responses may be missing
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"before", "periods"})
public record RouteOutcomes(OutcomeCounts before, List<OutcomeCounts> periods) {
  /** The number of periods of a roll-out. */
  public static final int PERIODS = 8;

  /** No responses. */
  public static final RouteOutcomes NONE = new RouteOutcomes(OutcomeCounts.NONE, List.of());

  /** Returns the counts of a route that had these responses before the order. */
  public static RouteOutcomes before(OutcomeCounts counts) {
    return new RouteOutcomes(counts, List.of());
  }

  /**
   * Returns the counts of a single response.
   *
   * @param elapsedFraction the fraction of the duration at which it arrived; above 1 if overdue
   */
  public static RouteOutcomes of(boolean ofCandidate, boolean failed, double elapsedFraction) {
    int period = (int) Math.max(0, Math.min(PERIODS - 1, elapsedFraction * PERIODS));
    List<OutcomeCounts> periods =
        new ArrayList<>(Collections.nCopies(period + 1, OutcomeCounts.NONE));
    periods.set(period, OutcomeCounts.of(ofCandidate, failed));
    return new RouteOutcomes(OutcomeCounts.NONE, List.copyOf(periods));
  }

  /** Returns the sum of the counts of two disjoint sets of responses. */
  public RouteOutcomes plus(RouteOutcomes other) {
    return combine(other, OutcomeCounts::plus);
  }

  /** Returns the later of two states of the same counts, which never decrease. */
  public RouteOutcomes join(RouteOutcomes other) {
    return combine(other, OutcomeCounts::join);
  }

  private RouteOutcomes combine(RouteOutcomes other, BinaryOperator<OutcomeCounts> combination) {
    List<OutcomeCounts> combined = new ArrayList<>();
    for (int period = 0; period < Math.max(periods.size(), other.periods.size()); period++) {
      combined.add(combination.apply(period(period), other.period(period)));
    }
    return new RouteOutcomes(combination.apply(before, other.before), List.copyOf(combined));
  }

  /**
   * Returns these counts without the candidate's responses of the periods before the given one; the
   * responses of other versions in those periods are counted as before the order.
   */
  public RouteOutcomes since(int first) {
    OutcomeCounts earlier = before;
    List<OutcomeCounts> remaining = new ArrayList<>(periods);
    for (int period = 0; period < Math.min(first, periods.size()); period++) {
      OutcomeCounts counts = periods.get(period);
      earlier = earlier.plus(new OutcomeCounts(0, 0, counts.current(), counts.currentFailed()));
      remaining.set(period, OutcomeCounts.NONE);
    }
    return new RouteOutcomes(earlier, List.copyOf(remaining));
  }

  private OutcomeCounts period(int index) {
    return index < periods.size() ? periods.get(index) : OutcomeCounts.NONE;
  }

  /** Returns the sum of all counts, with those before the order. */
  public OutcomeCounts total() {
    return periods.stream().reduce(before, OutcomeCounts::plus);
  }

  /** Returns whether all counts are present and in their valid range. */
  public boolean isSound() {
    return before != null
        && before.isSound()
        && periods != null
        && periods.size() <= PERIODS
        && periods.stream().allMatch(Objects::nonNull)
        && periods.stream().allMatch(OutcomeCounts::isSound);
  }
}
