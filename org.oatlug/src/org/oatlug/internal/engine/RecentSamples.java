// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * The last samples of a quantity within {@link #WINDOW}. Memory is bounded. Owned by one event
 * loop, not thread-safe.
 */
final class RecentSamples {
  /**
   * The age at which a sample is dropped. It spans several momentary slowdowns of 0.6 s, and is
   * short enough that an upstream whose pace improved is used again soon.
   */
  static final Duration WINDOW = Duration.ofSeconds(10);

  private static final int MAXIMUM_SAMPLES = 32;

  private final Deque<Sample> samples = new ArrayDeque<>();

  /** The median of all samples, computed once until they change: it is read for each request. */
  private OptionalDouble median = OptionalDouble.empty();

  private record Sample(double value, Instant at) {}

  /** Adds a sample. */
  void add(double value, Instant now) {
    if (samples.size() >= MAXIMUM_SAMPLES) {
      samples.removeFirst();
    }
    samples.addLast(new Sample(value, now));
    median = OptionalDouble.empty();
  }

  /** Returns the number of samples within the window. */
  int count(Instant now) {
    while (!samples.isEmpty() && !isFresh(samples.peekFirst().at(), now)) {
      samples.removeFirst();
      median = OptionalDouble.empty();
    }
    return samples.size();
  }

  /** Returns the median of the samples within the window, empty if there are none. */
  OptionalDouble median(Instant now) {
    if (count(now) > 0 && median.isEmpty()) {
      median = OptionalDouble.of(medianOf(samples.stream().mapToDouble(Sample::value).toArray()));
    }
    return median;
  }

  /** Returns whether a sample of this time is within the window. */
  static boolean isFresh(Instant at, Instant now) {
    return Duration.between(at, now).compareTo(WINDOW) < 0;
  }

  /** Returns the median, the mean of the middle two for an even number of values. */
  static double medianOf(double[] values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    int middle = sorted.length / 2;
    return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
  }
}
