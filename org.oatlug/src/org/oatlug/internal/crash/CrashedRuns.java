// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.oatlug.internal.crash.CrashLedger.Verdict;

/**
 * Holds the runs of one request, or of all requests with one prompt part, during which upstreams
 * crashed, and when it was last cleared or convicted.
 *
 * <p>Invariants: an upstream process counts once, no matter how often and by how many instances it
 * is reported; a crash before the request was cleared does not count, nor does one that is
 * explained by another key. Owned by one event loop, not thread-safe.
 */
final class CrashedRuns {
  private final String subject;
  private final Predicate<String> isExplainedByAnother;
  private final Map<String, Run> runs = new TreeMap<>();
  private Optional<Instant> clearedAt = Optional.empty();
  private Optional<Instant> convictedAt = Optional.empty();
  private long revision;
  private Verdict verdict = Verdict.CLEAR;

  /**
   * A run during which its upstream crashed.
   *
   * @param predecessors the processes that had crashed before the run started
   */
  private record Run(Instant startedAt, Instant crashedAt, Set<String> predecessors) {}

  /**
   * Creates an empty record.
   *
   * @param isExplainedByAnother whether the crash of a process is explained by another key, and so
   *     does not count here
   */
  CrashedRuns(String subject, Predicate<String> isExplainedByAnother) {
    this.subject = subject;
    this.isExplainedByAnother = isExplainedByAnother;
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

  /**
   * Clears all crashes and the conviction up to a moment; returns whether there were any that had
   * not been cleared before.
   */
  boolean clear(Instant moment) {
    boolean clearsConviction = convictedAt.filter(at -> !at.isAfter(moment)).isPresent();
    boolean clearsAny =
        clearsConviction
            || runs.values().stream().anyMatch(run -> isUncleared(run) && !isAfter(run, moment));
    if (clearsAny) {
      clearedAt = Optional.of(moment);
    }
    if (clearsConviction) {
      convictedAt = Optional.empty();
    }
    return clearsAny;
  }

  /** Convicts the prompt part, unless it was cleared later; returns whether that is new. */
  boolean convict(Instant moment) {
    boolean isNew =
        convictedAt.isEmpty() && clearedAt.map(cleared -> moment.isAfter(cleared)).orElse(true);
    if (isNew) {
      convictedAt = Optional.of(moment);
    }
    return isNew;
  }

  /** Returns whether the prompt part is convicted, which does not expire. */
  boolean isConvicted() {
    return convictedAt.isPresent();
  }

  private boolean isUncleared(Run run) {
    return clearedAt.map(moment -> isAfter(run, moment)).orElse(true);
  }

  private boolean isCounted(Map.Entry<String, Run> entry) {
    return isUncleared(entry.getValue()) && !isExplainedByAnother.test(entry.getKey());
  }

  private static boolean isAfter(Run run, Instant moment) {
    return run.crashedAt().isAfter(moment);
  }

  private List<Run> countedRuns() {
    return runs.entrySet().stream()
        .filter(this::isCounted)
        .map(Map.Entry::getValue)
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
            .filter(entry -> !entry.getKey().equals(process) && isCounted(entry))
            .count();
  }

  /** Returns the upstream processes whose crashes count. */
  List<String> processes() {
    return runs.entrySet().stream().filter(this::isCounted).map(Map.Entry::getKey).toList();
  }

  /** Returns whether all these processes are among those whose crashes count. */
  boolean hasCrashed(Set<String> processes) {
    return runs.keySet().containsAll(processes) && processes().containsAll(processes);
  }

  /**
   * Returns the number of consecutive crashes, each during a run that started after the previous
   * crash. Upstreams that crash together for an unrelated reason thus count once for a request that
   * is open at several of them.
   */
  int consecutiveCrashes() {
    Map<String, Run> counted = new TreeMap<>(runs);
    counted.entrySet().removeIf(entry -> !isCounted(entry));
    Map<String, Integer> longest = new HashMap<>();
    return counted.keySet().stream()
        .mapToInt(process -> longestChainTo(process, counted, longest))
        .max()
        .orElse(0);
  }

  /** Returns the length of the longest chain of consecutive crashes that ends with a process. */
  private static int longestChainTo(
      String process, Map<String, Run> counted, Map<String, Integer> longest) {
    Integer known = longest.get(process);
    if (known != null) {
      return known;
    }
    // Runs that each seem to precede the other, by the delay of messages, must not be followed.
    longest.put(process, 0);
    int length = 0;
    for (Map.Entry<String, Run> previous : counted.entrySet()) {
      boolean precedes =
          !previous.getKey().equals(process)
              && isConsecutive(previous.getKey(), previous.getValue(), counted.get(process));
      if (precedes) {
        length = Math.max(length, longestChainTo(previous.getKey(), counted, longest));
      }
    }
    longest.put(process, length + 1);
    return length + 1;
  }

  private static boolean isConsecutive(String process, Run run, Run next) {
    return next.predecessors().contains(process) || !next.startedAt().isBefore(run.crashedAt());
  }

  /** Returns the time of the earliest crash that counts, empty if there is none. */
  Optional<Instant> earliestCrash() {
    return countedRuns().stream().map(Run::crashedAt).findFirst();
  }

  /** Removes crashes before a moment; returns whether nothing is left to remember. */
  boolean removeBefore(Instant moment) {
    runs.values().removeIf(run -> run.crashedAt().isBefore(moment));
    boolean clearedSince = clearedAt.filter(cleared -> !cleared.isBefore(moment)).isPresent();
    return runs.isEmpty() && !isConvicted() && !clearedSince;
  }

  /** Returns the record to send to other instances, without expired crashes. */
  CrashRecord asOf(Instant now, String fingerprint) {
    removeBefore(now.minus(CrashLedger.VALIDITY));
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
    Long convictedAge = convictedAt.map(moment -> age(moment, now)).orElse(null);
    return new CrashRecord(fingerprint, subject, reported, clearedAge, convictedAge);
  }

  private static long age(Instant moment, Instant now) {
    return Math.max(0, Duration.between(moment, now).toMillis());
  }
}
