// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oatlug.internal.crash.CrashLedger.Verdict;

/**
 * Holds the runs of one request during which upstreams crashed, and when it was last cleared.
 *
 * <p>Invariants: an upstream process counts once, no matter how often and by how many instances it
 * is reported; a crash before the request was cleared does not count. Owned by one event loop, not
 * thread-safe.
 */
final class CrashedRuns {
  private final String subject;
  private final Map<String, Run> runs = new TreeMap<>();
  private Optional<Instant> clearedAt = Optional.empty();
  private long revision;
  private Verdict verdict = Verdict.CLEAR;

  private record Run(Instant startedAt, Instant crashedAt) {}

  CrashedRuns(String subject) {
    this.subject = subject;
  }

  String subject() {
    return subject;
  }

  long revision() {
    return revision;
  }

  /** Sets the verdict and the revision after a change; returns the previous verdict. */
  Verdict update(Verdict newVerdict, long newRevision) {
    Verdict previous = verdict;
    verdict = newVerdict;
    revision = newRevision;
    return previous;
  }

  /** Adds a run and evicts the oldest if full; returns whether the run is new and kept. */
  boolean add(String process, Instant startedAt, Instant crashedAt) {
    if (runs.containsKey(process)) {
      return false;
    }
    runs.put(process, new Run(startedAt, crashedAt));
    if (runs.size() > CrashLedger.MAXIMUM_RUNS) {
      runs.entrySet().stream()
          .min(Comparator.comparing(entry -> entry.getValue().crashedAt()))
          .ifPresent(oldest -> runs.remove(oldest.getKey()));
    }
    return runs.containsKey(process);
  }

  /** Clears all crashes up to a moment; returns whether any of them counted before. */
  boolean clear(Instant moment) {
    boolean clearsAny =
        runs.values().stream().anyMatch(run -> isCounted(run) && !isAfter(run, moment));
    if (clearsAny) {
      clearedAt = Optional.of(moment);
    }
    return clearsAny;
  }

  private boolean isCounted(Run run) {
    return clearedAt.map(moment -> isAfter(run, moment)).orElse(true);
  }

  private static boolean isAfter(Run run, Instant moment) {
    return run.crashedAt().isAfter(moment);
  }

  private List<Run> countedRuns() {
    return runs.values().stream()
        .filter(this::isCounted)
        .sorted(Comparator.comparing(Run::crashedAt))
        .toList();
  }

  /** Returns the number of upstream processes whose crashes count. */
  int crashes() {
    return countedRuns().size();
  }

  /** Returns the number of upstream processes whose crashes count, without the given one. */
  int crashesExcept(String process) {
    return (int)
        runs.entrySet().stream()
            .filter(entry -> !entry.getKey().equals(process) && isCounted(entry.getValue()))
            .count();
  }

  /** Returns the upstream processes whose crashes count. */
  List<String> processes() {
    return runs.entrySet().stream()
        .filter(entry -> isCounted(entry.getValue()))
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Returns the number of consecutive crashes, each during a run that started after the previous
   * crash. Upstreams that crash together for an unrelated reason thus count once for a request that
   * is open at several of them.
   */
  int consecutiveCrashes() {
    int count = 0;
    Instant lastCrash = Instant.MIN;
    for (Run run : countedRuns()) {
      if (!run.startedAt().isBefore(lastCrash)) {
        count++;
        lastCrash = run.crashedAt();
      }
    }
    return count;
  }

  /** Returns the time of the earliest crash that counts, empty if there is none. */
  Optional<Instant> earliestCrash() {
    return countedRuns().stream().map(Run::crashedAt).findFirst();
  }

  /** Removes crashes before a moment; returns whether no run is left. */
  boolean removeBefore(Instant moment) {
    runs.values().removeIf(run -> run.crashedAt().isBefore(moment));
    return runs.isEmpty();
  }

  CrashRecord asOf(Instant now, String fingerprint) {
    List<CrashRecord.CrashedRun> reported =
        runs.entrySet().stream()
            .map(
                entry ->
                    new CrashRecord.CrashedRun(
                        entry.getKey(),
                        age(entry.getValue().startedAt(), now),
                        age(entry.getValue().crashedAt(), now)))
            .toList();
    long clearedAge = clearedAt.map(moment -> age(moment, now)).orElse(CrashRecord.NEVER);
    return new CrashRecord(fingerprint, subject, reported, clearedAge);
  }

  private static long age(Instant moment, Instant now) {
    return Math.max(0, Duration.between(moment, now).toMillis());
  }
}
