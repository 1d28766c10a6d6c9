// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.crash;

import java.util.List;
import java.util.Set;

/**
 * The crash history of one request, as instances exchange it. Immutable.
 *
 * <p>Ages are exchanged rather than times of day, because clocks differ between instances.
 *
 * @param fingerprint the fingerprint of the request
 * @param subject the workspace and destination of the request, for operators
 * @param runs its runs during which an upstream crashed, one for each upstream process
 * @param clearedAgeMillis how long ago the request was cleared, in milliseconds; -1 for never
 * @param convictedAgeMillis how long ago the prompt part was convicted, in milliseconds; null if it
 *     is not, or if the sender has an earlier version
 */
public record CrashRecord(
    String fingerprint,
    String subject,
    List<CrashedRun> runs,
    long clearedAgeMillis,
    Long convictedAgeMillis) {
  /** The age that stands for a request that was never cleared. */
  static final long NEVER = -1;

  /** The maximum length of a process name, in characters; longer than that of any upstream. */
  private static final int MAXIMUM_NAME_LENGTH = 512;

  /** The maximum length of a subject, in characters. */
  static final int MAXIMUM_SUBJECT_LENGTH = 160;

  /**
   * A run during which its upstream crashed.
   *
   * @param process the upstream process: the name and start time of the upstream
   * @param beganAgeMillis how long ago the run started, in milliseconds
   * @param endedAgeMillis how long ago the upstream crashed, in milliseconds
   * @param predecessors the processes that had crashed before the run started, as known to the
   *     instance that observed it; ages cannot tell, because messages are delayed differently
   */
  public record CrashedRun(
      String process, long beganAgeMillis, long endedAgeMillis, Set<String> predecessors) {
    /** Treats missing predecessors, as sent by an instance of an earlier version, as none. */
    public CrashedRun {
      predecessors = predecessors == null ? Set.of() : predecessors;
    }

    private boolean isSound() {
      return isValidName(process)
          && predecessors.size() <= CrashLedger.MAXIMUM_RUNS
          && predecessors.stream().allMatch(CrashedRun::isValidName)
          && endedAgeMillis >= 0
          && beganAgeMillis >= endedAgeMillis
          && beganAgeMillis <= 2 * CrashLedger.VALIDITY.toMillis();
    }

    private static boolean isValidName(String name) {
      return name != null && name.length() <= MAXIMUM_NAME_LENGTH;
    }
  }

  /** Returns whether the record is valid and can be merged. */
  boolean isSound() {
    return fingerprint != null
        && fingerprint.length() == RequestFingerprint.LENGTH
        && subject != null
        && subject.length() <= MAXIMUM_SUBJECT_LENGTH
        && runs != null
        && runs.size() <= CrashLedger.MAXIMUM_RUNS
        && runs.stream().allMatch(run -> run != null && run.isSound())
        && clearedAgeMillis >= NEVER
        && (convictedAgeMillis == null || isValidConviction());
  }

  private boolean isValidConviction() {
    return convictedAgeMillis >= 0 && RequestFingerprint.isPart(fingerprint);
  }
}
