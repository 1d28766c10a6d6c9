// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.rollout;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Counts of the responses of two versions, and how many of them failed. Immutable, thread-safe.
 *
 * @param candidate the responses of the version under roll-out
 * @param candidateFailed how many of them failed
 * @param current the responses of other versions
 * @param currentFailed how many of them failed
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"candidate", "candidateFailed", "current", "currentFailed"})
public record OutcomeCounts(
    long candidate, long candidateFailed, long current, long currentFailed) {
  /** Counts of zero. */
  public static final OutcomeCounts NONE = new OutcomeCounts(0, 0, 0, 0);

  /** Exceeds the responses of a service during a roll-out; larger counts are invalid. */
  private static final long MAXIMUM_COUNT = 1_000_000_000L;

  /** Returns the counts of a single response. */
  public static OutcomeCounts of(boolean ofCandidate, boolean failed) {
    int failures = failed ? 1 : 0;
    return ofCandidate
        ? new OutcomeCounts(1, failures, 0, 0)
        : new OutcomeCounts(0, 0, 1, failures);
  }

  /** Returns the sum of the counts of two disjoint sets of responses. */
  public OutcomeCounts plus(OutcomeCounts other) {
    return new OutcomeCounts(
        candidate + other.candidate,
        candidateFailed + other.candidateFailed,
        current + other.current,
        currentFailed + other.currentFailed);
  }

  /** Returns the later of two states of the same counts, which never decrease. */
  public OutcomeCounts join(OutcomeCounts other) {
    return new OutcomeCounts(
        Math.max(candidate, other.candidate),
        Math.max(candidateFailed, other.candidateFailed),
        Math.max(current, other.current),
        Math.max(currentFailed, other.currentFailed));
  }

  /** Returns the number of responses of all versions. */
  public long responses() {
    return candidate + current;
  }

  /** Returns whether all counts are in their valid range. */
  public boolean isSound() {
    return isSound(candidate, candidateFailed) && isSound(current, currentFailed);
  }

  private static boolean isSound(long responses, long failed) {
    return failed >= 0 && failed <= responses && responses <= MAXIMUM_COUNT;
  }
}
