// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.crash;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.oatlug.internal.util.BoundedMap;

/**
 * Which requests upstreams ended under, as this instance and all that told it have seen it.
 *
 * <p>Load pattern: a request ends each upstream that runs it, its caller sends it again at any
 * instance, and everything else that is open at the upstream sees the same end. So starts of
 * upstreams are counted and not broken answers, as a set that instances join; a request that ends
 * well anywhere is innocent of what was before. Invariants: joining is commutative, associative and
 * idempotent but for the rounding of ages; there are at most {@link #MOST_REQUESTS}, and those with
 * the fewest ends fall out first, then the oldest, so that a flood of requests under which one
 * upstream ended pushes out none under which several did. Owned by one event loop, not thread-safe.
 */
public final class CrashLedger {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long an end speaks against a request: a request that comes again does so sooner. */
  static final Duration VALID = Duration.ofMinutes(10);

  /** The most ends that are kept of a request: more than are ever needed to judge it. */
  static final int MOST_RUNS = 8;

  /** Several times the requests that are open at the upstreams which end in {@link #VALID}. */
  static final int MOST_REQUESTS = 1024;

  /** From so many ends on a request runs alone. */
  private static final int SUSPECT_FROM = 2;

  /** From so many ends in turn on a request is refused. */
  private static final int REFUSED_FROM = 3;

  /** The most records that one message carries; the rest follows with the next. */
  private static final int MOST_TOLD = 128;

  /** Requests that ended well while something was held against others. */
  private static final int MOST_HARMLESS = 4096;

  /** How often requests are looked through that may have become too old to count. */
  private static final Duration PURGE_PAUSE = Duration.ofSeconds(10);

  /** At most a line each so many milliseconds tells of suspects. */
  private static final int LINES_MILLIS = 20;

  private final InstantSource clock;
  private final Map<String, EndedRuns> requests = new HashMap<>();
  private final Map<String, Instant> harmless = BoundedMap.ofMost(MOST_HARMLESS);
  private Instant nextPurge = Instant.EPOCH;
  private long revision;
  private long suspectsRevision;

  /** What is held of a request. */
  public enum Verdict {
    /** Nothing speaks against it, or too little. */
    CLEAR,
    /** It runs alone, and once a try. */
    SUSPECT,
    /** It is not run. */
    REFUSED
  }

  /**
   * A request that something is held against, for operators.
   *
   * @param fingerprint the request
   * @param subject whose request it is and where it goes
   * @param verdict what is held of it
   * @param ended the starts of upstreams that ended under it
   * @param lapsesMillis how long the earliest of them still counts, in milliseconds
   */
  public record Listed(
      String fingerprint, String subject, Verdict verdict, List<String> ended, long lapsesMillis) {}

  private CrashLedger(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns a ledger that holds nothing. */
  public static CrashLedger create(InstantSource clock) {
    return new CrashLedger(clock);
  }

  /** Returns whether nothing is held against any request; asked for each, so it is quick. */
  public boolean isEmpty() {
    if (!requests.isEmpty() && !clock.instant().isBefore(nextPurge)) {
      purge();
    }
    return requests.isEmpty();
  }

  /** Drops what is too old to count. */
  private void purge() {
    Instant now = clock.instant();
    nextPurge = now.plus(PURGE_PAUSE);
    requests.values().removeIf(runs -> runs.forgetBefore(now.minus(VALID)));
  }

  /** Returns what is held of a request now. */
  public Verdict verdict(String fingerprint) {
    return find(fingerprint).map(CrashLedger::verdictOf).orElse(Verdict.CLEAR);
  }

  private static Verdict verdictOf(EndedRuns runs) {
    if (runs.endsInTurn() >= REFUSED_FROM) {
      return Verdict.REFUSED;
    }
    return runs.ends() >= SUSPECT_FROM ? Verdict.SUSPECT : Verdict.CLEAR;
  }

  /** Returns the request's runs that are not too old to count. */
  private Optional<EndedRuns> find(String fingerprint) {
    EndedRuns runs = requests.get(fingerprint);
    if (runs != null && runs.forgetBefore(clock.instant().minus(VALID))) {
      requests.remove(fingerprint);
      return Optional.empty();
    }
    return Optional.ofNullable(runs);
  }

  /** Returns whether the request runs alone once it has also ended a start of an upstream. */
  public boolean isSuspectAfter(String fingerprint, String process) {
    return find(fingerprint).map(runs -> runs.endsBut(process) + 1 >= SUSPECT_FROM).orElse(false);
  }

  /** Returns the starts of upstreams that ended under the request and count. */
  public List<String> ended(String fingerprint) {
    return find(fingerprint).map(EndedRuns::processes).orElse(List.of());
  }

  /** Returns how long it takes until less is held against the request. */
  public Duration lapsesAfter(String fingerprint) {
    Instant now = clock.instant();
    return find(fingerprint)
        .flatMap(EndedRuns::earliest)
        .map(earliest -> Duration.between(now, earliest.plus(VALID)))
        .orElse(Duration.ZERO);
  }

  /**
   * Takes in that an upstream ended under a request.
   *
   * @param subject whose request it is and where it goes, for operators
   * @param process the upstream with its start
   * @param began when the run began
   * @param ended when the upstream ended
   */
  public void upstreamEnded(
      String fingerprint, String subject, String process, Instant began, Instant ended) {
    EndedRuns runs = entry(fingerprint, subject);
    if (runs.add(process, began, ended)) {
      changed(fingerprint, runs, "seen here");
    }
  }

  /** Takes in that a request got a whole answer: it does not end whoever runs it. */
  public void endedWell(String fingerprint) {
    harmless.put(fingerprint, clock.instant());
    clear(fingerprint, "it ended well");
  }

  /** Forgets what is held against a request, everywhere; returns whether anything was. */
  public boolean forget(String fingerprint) {
    return clear(fingerprint, "an operator forgets it");
  }

  private boolean clear(String fingerprint, String reason) {
    Optional<EndedRuns> known = find(fingerprint);
    boolean cleared = known.map(runs -> runs.clear(clock.instant())).orElse(false);
    if (cleared) {
      changed(fingerprint, known.get(), reason);
    }
    return cleared;
  }

  private EndedRuns entry(String fingerprint, String subject) {
    find(fingerprint);
    if (!requests.containsKey(fingerprint) && requests.size() >= MOST_REQUESTS) {
      makeRoom();
    }
    return requests.computeIfAbsent(fingerprint, unused -> new EndedRuns(subject));
  }

  private void makeRoom() {
    purge();
    if (requests.size() < MOST_REQUESTS) {
      return;
    }
    requests.entrySet().stream()
        .min(
            Comparator.<Map.Entry<String, EndedRuns>>comparingInt(one -> one.getValue().ends())
                .thenComparingLong(one -> one.getValue().revision()))
        .ifPresent(weakest -> requests.remove(weakest.getKey()));
  }

  private void changed(String fingerprint, EndedRuns runs, String reason) {
    Optional.ofNullable(harmless.get(fingerprint)).ifPresent(runs::clear);
    Verdict verdict = verdictOf(runs);
    Verdict before = runs.judge(verdict, ++revision);
    if (verdict != Verdict.CLEAR) {
      suspectsRevision = revision;
    } else if (before == Verdict.CLEAR) {
      return;
    }
    logger.atInfo().atMostEvery(LINES_MILLIS, TimeUnit.MILLISECONDS).log(
        "request %s of %s is held %s: upstreams that ended under it %s, in turn %d; %s",
        fingerprint, runs.subject(), verdict, runs.processes(), runs.endsInTurn(), reason);
  }

  /** Returns the number of the last change. */
  public long revision() {
    return revision;
  }

  /** Returns the number of the last change of a request that is not clear. */
  public long suspectsRevision() {
    return suspectsRevision;
  }

  /** Returns the records that changed after a revision, the earliest first. */
  public CrashNews after(long read) {
    if (read >= revision) {
      return new CrashNews(List.of(), revision);
    }
    Instant now = clock.instant();
    List<Map.Entry<String, EndedRuns>> fresh =
        requests.entrySet().stream()
            .filter(one -> one.getValue().revision() > read)
            .sorted(Comparator.comparingLong(one -> one.getValue().revision()))
            .limit(MOST_TOLD)
            .toList();
    long upTo = fresh.stream().mapToLong(one -> one.getValue().revision()).max().orElse(revision);
    return new CrashNews(
        fresh.stream().map(one -> one.getValue().asOf(now, one.getKey())).toList(), upTo);
  }

  /** Takes in what another instance told. */
  public void merge(List<CrashRecord> records, String from) {
    Instant now = clock.instant();
    records.stream()
        .filter(record -> record != null && record.isSound())
        .forEach(record -> merge(record, now, from));
  }

  private void merge(CrashRecord record, Instant now, String from) {
    List<CrashRecord.EndedRun> valid =
        record.runs().stream().filter(run -> run.endedAgeMillis() < VALID.toMillis()).toList();
    if (valid.isEmpty()) {
      return;
    }
    EndedRuns runs = entry(record.fingerprint(), record.subject());
    boolean isNew = false;
    for (CrashRecord.EndedRun run : valid) {
      Instant began = now.minusMillis(run.beganAgeMillis());
      isNew |= runs.add(run.process(), began, now.minusMillis(run.endedAgeMillis()));
    }
    if (record.clearedAgeMillis() != CrashRecord.NEVER) {
      isNew |= runs.clear(now.minusMillis(record.clearedAgeMillis()));
    }
    if (isNew) {
      changed(record.fingerprint(), runs, "told by " + from);
    }
  }

  /** Returns the requests that run alone or not at all. */
  public List<Listed> listed() {
    return List.copyOf(requests.keySet()).stream()
        .sorted()
        .filter(one -> verdict(one) != Verdict.CLEAR)
        .map(this::listed)
        .toList();
  }

  private Listed listed(String fingerprint) {
    EndedRuns runs = requests.get(fingerprint);
    return new Listed(
        fingerprint,
        runs.subject(),
        verdict(fingerprint),
        ended(fingerprint),
        lapsesAfter(fingerprint).toMillis());
  }
}
