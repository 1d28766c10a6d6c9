// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.cascade;

import java.util.HashMap;
import java.util.Map;

/**
 * How many rated answers met the quality target, per workspace, task and model.
 *
 * <p>Old ratings fade, so that a change of quality is seen. Answers that were handed to the rating
 * and not rated are counted, too. Owned by one event loop, not thread-safe.
 */
public final class RatingTable {
  private static final double FADE_ABOVE = 1000;

  private final Map<Subject, Counts> rows = new HashMap<>();

  private RatingTable() {}

  /** Returns an empty table. */
  public static RatingTable create() {
    return new RatingTable();
  }

  /** Counts an answer that is handed to the rating. */
  public void handedOver(Subject subject) {
    Counts old = counts(subject);
    rows.put(subject, new Counts(old.met(), old.missed(), old.unrated() + 1));
  }

  /** Takes in the rating of an answer that was handed over. */
  public void rated(Subject subject, boolean met) {
    Counts old = counts(subject);
    double keep = old.total() >= FADE_ABOVE ? 1 - 1 / FADE_ABOVE : 1;
    double passed = old.met() * keep + (met ? 1 : 0);
    double missed = old.missed() * keep + (met ? 0 : 1);
    rows.put(subject, new Counts(passed, missed, Math.max(0, old.unrated() - 1)));
  }

  /** Returns the counts, zeros if nothing was rated. */
  public Counts counts(Subject subject) {
    return rows.getOrDefault(subject, Counts.NONE);
  }

  /**
   * What is rated.
   *
   * @param workspace the workspace
   * @param task the caller's task name
   * @param model the model that answered
   */
  public record Subject(String workspace, String task, String model) {}

  /**
   * Faded numbers of rated answers.
   *
   * @param met answers that met the target
   * @param missed answers that did not
   * @param unrated answers that were handed over and are not rated
   */
  public record Counts(double met, double missed, int unrated) {
    static final Counts NONE = new Counts(0, 0, 0);

    /** Returns the number of ratings. */
    public double total() {
      return met + missed;
    }
  }
}
