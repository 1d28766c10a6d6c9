// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import java.util.Arrays;
import java.util.Optional;

/**
 * Holds the latest prefill times of one model and fits a line through them.
 *
 * <p>The line is the Theil-Sen estimator, the median of the slopes of all pairs of samples, which
 * tolerates one outlier in four: a prompt that was not cached as assumed, or that waited for a
 * request unknown to this instance. The origin is paired with each sample as well, so that prompts
 * of equal size yield a slope. Invariants: at most {@link #MAXIMUM_SAMPLES} samples are held, and
 * the oldest is removed first; after {@link #CHANGE_MISSES} consecutive samples that miss the line
 * on the same side only these are held; the slope is not negative. Owned by one event loop, not
 * thread-safe.
 */
final class PrefillSamples {
  /**
   * The maximum samples held: enough that one outlier in ten moves the line by less than a fifth,
   * as a property test checks.
   */
  private static final int MAXIMUM_SAMPLES = 15;

  /** The consecutive misses that indicate a changed speed, so that ten samples suffice to adapt. */
  private static final int CHANGE_MISSES = 5;

  /** The ratio, or its inverse, of a sample to the line from which the sample misses the line. */
  private static final double MISS_RATIO = 1.5;

  /** The minimum number of samples for a line. */
  private static final int MINIMUM_SAMPLES = 3;

  /** The minimum difference of two prompt sizes for a slope, as a share of the larger. */
  private static final double MINIMUM_DIFFERENCE = 0.1;

  private final double[] tokens = new double[MAXIMUM_SAMPLES];
  private final double[] millis = new double[MAXIMUM_SAMPLES];
  private int size;

  /** The number of consecutive misses: positive if slower than the line, negative if faster. */
  private int misses;

  private Optional<PrefillTimeModel> line = Optional.empty();

  /**
   * Adds a sample.
   *
   * @param uncachedTokens the tokens that were not in the prefix cache of the engine
   * @param elapsed the prefill time including the fixed part, in milliseconds
   */
  void add(double uncachedTokens, double elapsed) {
    line.ifPresent(current -> countMiss(elapsed / Math.max(1, current.millisFor(uncachedTokens))));
    if (size == MAXIMUM_SAMPLES) {
      keepLatest(MAXIMUM_SAMPLES - 1);
    }
    tokens[size] = uncachedTokens;
    millis[size] = elapsed;
    size++;
    if (Math.abs(misses) >= CHANGE_MISSES) {
      keepLatest(CHANGE_MISSES);
      misses = 0;
    }
    line = size < MINIMUM_SAMPLES ? Optional.empty() : Optional.of(fit());
  }

  private void countMiss(double ratio) {
    if (ratio > MISS_RATIO) {
      misses = Math.max(0, misses) + 1;
    } else if (ratio < 1 / MISS_RATIO) {
      misses = Math.min(0, misses) - 1;
    } else {
      misses = 0;
    }
  }

  private void keepLatest(int count) {
    System.arraycopy(tokens, size - count, tokens, 0, count);
    System.arraycopy(millis, size - count, millis, 0, count);
    size = count;
  }

  /** Returns the line through the samples, empty while there are too few. */
  Optional<PrefillTimeModel> line() {
    return line;
  }

  private PrefillTimeModel fit() {
    double slope = medianSlope();
    double[] intercepts = new double[size];
    for (int index = 0; index < size; index++) {
      intercepts[index] = millis[index] - slope * tokens[index];
    }
    return new PrefillTimeModel(Math.max(0, median(intercepts, size)), slope);
  }

  private double medianSlope() {
    double[] slopes = new double[size * (size + 1) / 2];
    int count = 0;
    for (int first = 0; first < size; first++) {
      if (tokens[first] > 0) {
        slopes[count++] = millis[first] / tokens[first];
      }
      for (int second = 0; second < first; second++) {
        double difference = tokens[first] - tokens[second];
        double minimum = MINIMUM_DIFFERENCE * Math.max(tokens[first], tokens[second]);
        if (Math.abs(difference) > minimum) {
          slopes[count++] = (millis[first] - millis[second]) / difference;
        }
      }
    }
    return Math.max(0, median(slopes, count));
  }

  private static double median(double[] values, int count) {
    if (count == 0) {
      return 0;
    }
    Arrays.sort(values, 0, count);
    return (values[(count - 1) / 2] + values[count / 2]) / 2;
  }
}
