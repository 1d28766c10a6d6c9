// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
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

  /**
   * A run during which its upstream crashed.
   *
   * @param predecessors the processes that had crashed before the run started
   */
  private record Run(Instant startedAt, Instant crashedAt, Set<String> predecessors) {}

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

  /** Returns the processes that crashed before a moment, according to this instance. */
  Set<String> processesCrashedBefore(Instant moment) {
    return runs.entrySet().stream()
        .filter(entry -> !isAfter(entry.getValue(), moment))
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /**
   * Adds a run and evicts the oldest if full; returns whether the run, or any of its predecessors,
   * is new and kept.
   */
  boolean add(String process, Instant startedAt, Instant crashedAt, Set<String> predecessors) {
    Run known = runs.get(process);
    if (known != null) {
      return addPredecessors(process, known, predecessors);
    }
    runs.put(process, new Run(startedAt, crashedAt, predecessors));
    if (runs.size() > CrashLedger.MAXIMUM_RUNS) {
      runs.entrySet().stream()
          .min(Comparator.comparing(entry -> entry.getValue().crashedAt()))
          .ifPresent(oldest -> runs.remove(oldest.getKey()));
    }
    return runs.containsKey(process);
  }

  private boolean addPredecessors(String process, Run known, Set<String> predecessors) {
    Set<String> joined = new TreeSet<>(known.predecessors());
    if (!joined.addAll(predecessors)) {
      return false;
    }
    runs.put(process, new Run(known.startedAt(), known.crashedAt(), joined));
    return true;
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
    Map<String, Run> counted = new TreeMap<>(runs);
    counted.values().removeIf(run -> !isCounted(run));
    return counted.keySet().stream()
        .mapToInt(process -> longestChainTo(process, counted))
        .max()
        .orElse(0);
  }

  /** Returns the length of the longest chain of consecutive crashes that ends with a process. */
  private static int longestChainTo(String process, Map<String, Run> candidates) {
    Map<String, Run> others = new TreeMap<>(candidates);
    Run last = others.remove(process);
    int longest = 0;
    for (Map.Entry<String, Run> previous : Map.copyOf(others).entrySet()) {
      if (isConsecutive(previous.getKey(), previous.getValue(), last)) {
        longest = Math.max(longest, longestChainTo(previous.getKey(), others));
      }
    }
    return longest + 1;
  }

  private static boolean isConsecutive(String process, Run run, Run next) {
    return next.predecessors().contains(process) || !next.startedAt().isBefore(run.crashedAt());
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
                        age(entry.getValue().crashedAt(), now),
                        entry.getValue().predecessors()))
            .toList();
    long clearedAge = clearedAt.map(moment -> age(moment, now)).orElse(CrashRecord.NEVER);
    return new CrashRecord(fingerprint, subject, reported, clearedAge);
  }

  private static long age(Instant moment, Instant now) {
    return Math.max(0, Duration.between(moment, now).toMillis());
  }
}
