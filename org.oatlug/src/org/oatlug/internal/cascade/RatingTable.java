// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.cascade;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts of the rated responses that met or missed the quality target, per workspace, task and
 * model.
 *
 * <p>Old ratings decay, so that a change of quality becomes visible. Responses that were submitted
 * for rating and are not rated yet are counted, too. Owned by one event loop, not thread-safe.
 */
public final class RatingTable {
  /**
   * Maximum of the decayed number of ratings of a subject. Once it is reached, each new rating
   * decays the earlier ones so that the number does not grow.
   */
  private static final double MAXIMUM_RATINGS = 1000;

  private final Map<Subject, Counts> rows = new HashMap<>();

  private RatingTable() {}

  /** Returns an empty table. */
  public static RatingTable create() {
    return new RatingTable();
  }

  /** Counts a response that is submitted for rating. */
  public void recordSubmission(Subject subject) {
    Counts previous = counts(subject);
    rows.put(subject, new Counts(previous.met(), previous.missed(), previous.unrated() + 1));
  }

  /** Records the rating of a submitted response. */
  public void recordRating(Subject subject, boolean met) {
    Counts previous = counts(subject);
    double decay = previous.total() >= MAXIMUM_RATINGS ? 1 - 1 / MAXIMUM_RATINGS : 1;
    double newMet = previous.met() * decay + (met ? 1 : 0);
    double newMissed = previous.missed() * decay + (met ? 0 : 1);
    rows.put(subject, new Counts(newMet, newMissed, Math.max(0, previous.unrated() - 1)));
  }

  /** Returns the counts of a subject, zeros if it has none. */
  public Counts counts(Subject subject) {
    return rows.getOrDefault(subject, Counts.NONE);
  }

  /**
   * Key of the rating counts.
   *
   * @param workspace the workspace
   * @param task the caller's task name
   * @param model the model that generated the response
   */
  public record Subject(String workspace, String task, String model) {}

  /**
   * Counts of ratings with decay.
   *
   * @param met the rated responses that met the target
   * @param missed the rated responses that did not meet it
   * @param unrated the submitted responses without a rating
   */
  public record Counts(double met, double missed, int unrated) {
    static final Counts NONE = new Counts(0, 0, 0);

    /** Returns the decayed number of ratings. */
    public double total() {
      return met + missed;
    }
  }
}
