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
 * The runs of one request under which upstreams ended, and when it was last known to be harmless.
 *
 * <p>Invariants: a start of an upstream counts once, whoever tells of it and how often; a run that
 * ended before the request was known to be harmless does not count. Owned by one event loop, not
 * thread-safe.
 */
final class EndedRuns {
  private final String subject;
  private final Map<String, Run> runs = new TreeMap<>();
  private Optional<Instant> cleared = Optional.empty();
  private long revision;
  private Verdict judged = Verdict.CLEAR;

  private record Run(Instant began, Instant ended) {}

  EndedRuns(String subject) {
    this.subject = subject;
  }

  String subject() {
    return subject;
  }

  long revision() {
    return revision;
  }

  /** Takes in what the runs amount to after a change; returns what they did before. */
  Verdict judge(Verdict verdict, long newRevision) {
    Verdict before = judged;
    judged = verdict;
    revision = newRevision;
    return before;
  }

  /** Adds a run, the oldest give way; returns whether its upstream's end is kept and is new. */
  boolean add(String process, Instant began, Instant ended) {
    if (runs.containsKey(process)) {
      return false;
    }
    runs.put(process, new Run(began, ended));
    if (runs.size() > CrashLedger.MOST_RUNS) {
      runs.entrySet().stream()
          .min(Comparator.comparing(entry -> entry.getValue().ended()))
          .ifPresent(oldest -> runs.remove(oldest.getKey()));
    }
    return runs.containsKey(process);
  }

  /** Takes in that the request was harmless then; returns whether less counts than before. */
  boolean clear(Instant moment) {
    boolean voids = runs.values().stream().anyMatch(run -> counts(run) && !isAfter(run, moment));
    if (voids) {
      cleared = Optional.of(moment);
    }
    return voids;
  }

  private boolean counts(Run run) {
    return cleared.map(moment -> isAfter(run, moment)).orElse(true);
  }

  private static boolean isAfter(Run run, Instant moment) {
    return run.ended().isAfter(moment);
  }

  private List<Run> counted() {
    return runs.values().stream()
        .filter(this::counts)
        .sorted(Comparator.comparing(Run::ended))
        .toList();
  }

  /** Returns how many starts of upstreams ended under the request. */
  int ends() {
    return counted().size();
  }

  /** Returns how many ended under it besides one. */
  int endsBut(String process) {
    return (int)
        runs.entrySet().stream()
            .filter(entry -> !entry.getKey().equals(process) && counts(entry.getValue()))
            .count();
  }

  /** Returns the starts of upstreams that ended under it. */
  List<String> processes() {
    return runs.entrySet().stream()
        .filter(entry -> counts(entry.getValue()))
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Returns how many ended one after the other, each under a run that began after the end before.
   * Upstreams that end together, for a reason of their own, so count once for what is open at many.
   */
  int endsInTurn() {
    int count = 0;
    Instant last = Instant.MIN;
    for (Run run : counted()) {
      if (!run.began().isBefore(last)) {
        count++;
        last = run.ended();
      }
    }
    return count;
  }

  /** Returns when the earliest end that counts was, empty for none. */
  Optional<Instant> earliest() {
    return counted().stream().map(Run::ended).findFirst();
  }

  /** Forgets runs that ended before a moment; returns whether none is left. */
  boolean forgetBefore(Instant moment) {
    runs.values().removeIf(run -> run.ended().isBefore(moment));
    return runs.isEmpty();
  }

  CrashRecord asOf(Instant now, String fingerprint) {
    List<CrashRecord.EndedRun> told =
        runs.entrySet().stream()
            .map(
                entry ->
                    new CrashRecord.EndedRun(
                        entry.getKey(),
                        age(entry.getValue().began(), now),
                        age(entry.getValue().ended(), now)))
            .toList();
    long clearedAge = cleared.map(moment -> age(moment, now)).orElse(CrashRecord.NEVER);
    return new CrashRecord(fingerprint, subject, told, clearedAge);
  }

  private static long age(Instant moment, Instant now) {
    return Math.max(0, Duration.between(moment, now).toMillis());
  }
}
