// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import java.util.Arrays;
import java.util.Optional;

/**
 * The latest answers of one model, and the line through them.
 *
 * <p>The line is the one of Theil and Sen: the median of the slopes of all pairs of answers, so
 * that an answer in four may be wild, because its prompt was not kept as believed or it waited for
 * a request that nobody here knew. The origin pairs with each answer too, so that prompts of one
 * size have a slope. Invariants: at most {@link #KEPT} answers are held, the oldest goes first;
 * after {@link #CHANGED_AFTER} answers in a row that miss the line on one side only these are held;
 * the line rises. Owned by one event loop, not thread-safe.
 */
final class ReadingSamples {
  /**
   * How many answers count: with these, a tenth of wild ones does not move the line by a fifth, by
   * property test.
   */
  private static final int KEPT = 15;

  /** So many misses in a row are a change of speed; ten answers after one it is followed. */
  private static final int CHANGED_AFTER = 5;

  /** An answer that takes this many times what the line says, or that part of it, misses it. */
  private static final double MISS = 1.5;

  /** Fewer answers than this make no line. */
  private static final int LEAST = 3;

  /** Two prompts whose sizes differ by less than this share of the larger show no slope. */
  private static final double LEAST_DIFFERENCE = 0.1;

  private final double[] tokens = new double[KEPT];
  private final double[] millis = new double[KEPT];
  private int size;

  /** The misses in a row: above zero if answers took longer, below if they were quicker. */
  private int misses;

  private Optional<ReadingLine> line = Optional.empty();

  /**
   * Takes in an answer.
   *
   * @param unreadTokens the tokens that had to be read
   * @param took how long they and the fixed part took, in milliseconds
   */
  void add(double unreadTokens, double took) {
    line.ifPresent(known -> countMiss(took / Math.max(1, known.millisFor(unreadTokens))));
    if (size == KEPT) {
      keepLatest(KEPT - 1);
    }
    tokens[size] = unreadTokens;
    millis[size] = took;
    size++;
    if (Math.abs(misses) >= CHANGED_AFTER) {
      keepLatest(CHANGED_AFTER);
      misses = 0;
    }
    line = size < LEAST ? Optional.empty() : Optional.of(fit());
  }

  private void countMiss(double ratio) {
    if (ratio > MISS) {
      misses = Math.max(0, misses) + 1;
    } else if (ratio < 1 / MISS) {
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

  /** Returns the line through the answers, empty while there are too few. */
  Optional<ReadingLine> line() {
    return line;
  }

  private ReadingLine fit() {
    double slope = medianSlope();
    double[] rests = new double[size];
    for (int index = 0; index < size; index++) {
      rests[index] = millis[index] - slope * tokens[index];
    }
    return new ReadingLine(Math.max(0, median(rests, size)), slope);
  }

  private double medianSlope() {
    double[] slopes = new double[size * (size + 1) / 2];
    int count = 0;
    for (int one = 0; one < size; one++) {
      if (tokens[one] > 0) {
        slopes[count++] = millis[one] / tokens[one];
      }
      for (int other = 0; other < one; other++) {
        double difference = tokens[one] - tokens[other];
        double least = LEAST_DIFFERENCE * Math.max(tokens[one], tokens[other]);
        if (Math.abs(difference) > least) {
          slopes[count++] = (millis[one] - millis[other]) / difference;
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
