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
 * Records the requests during which upstreams crashed, as observed by this instance and its peers.
 *
 * <p>Load pattern: a request crashes each upstream that runs it, its caller retries it at any
 * instance, and every other request that is open at the upstream fails with it. Therefore crashed
 * upstream processes are counted rather than failed responses, as a set that instances merge; a
 * request that completes anywhere is cleared of all earlier crashes. Invariants: merging is
 * commutative, associative and idempotent except for the rounding of ages; at most {@link
 * #MAXIMUM_REQUESTS} requests are kept, and those with the fewest crashes are evicted first, then
 * those that have not changed for longest, so that a flood of requests with one crash each evicts
 * none with several. Owned by one event loop, not thread-safe.
 */
public final class CrashLedger {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The time for which a crash counts against a request: longer than callers take to retry. */
  static final Duration VALIDITY = Duration.ofMinutes(10);

  /** The maximum crashes kept for a request: more than any verdict needs. */
  static final int MAXIMUM_RUNS = 8;

  /** Several times the requests open at the upstreams that crash within {@link #VALIDITY}. */
  static final int MAXIMUM_REQUESTS = 1024;

  /** The number of crashes from which a request runs alone on an upstream. */
  private static final int SUSPECT_CRASHES = 2;

  /** The number of consecutive crashes from which a request is refused. */
  private static final int REFUSED_CONSECUTIVE_CRASHES = 3;

  /** The maximum records in one message; the rest follows in the next. */
  private static final int MAXIMUM_RECORDS_PER_MESSAGE = 128;

  /** The maximum completed requests that are remembered while any request has crashes. */
  private static final int MAXIMUM_COMPLETED = 4096;

  /** The interval between removals of expired crashes. */
  private static final Duration PURGE_INTERVAL = Duration.ofSeconds(10);

  /** The minimum interval between log lines about verdicts, in milliseconds. */
  private static final int LOG_PERIOD_MILLIS = 20;

  private final InstantSource clock;
  private final Map<String, CrashedRuns> requests = new HashMap<>();
  private final Map<String, Instant> completed = BoundedMap.withMaximumSize(MAXIMUM_COMPLETED);
  private Instant nextPurge = Instant.EPOCH;
  private long revision;
  private long lastSuspectRevision;

  /** The verdict on a request. */
  public enum Verdict {
    /** It has no crashes, or too few to restrict it. */
    CLEAR,
    /** It runs alone on an upstream, with a single attempt for each try of its caller. */
    SUSPECT,
    /** It is not run on any upstream. */
    REFUSED
  }

  /**
   * A restricted request, as shown to operators.
   *
   * @param fingerprint the fingerprint of the request
   * @param subject the workspace and destination of the request
   * @param verdict the verdict on the request
   * @param ended the upstream processes that crashed while they ran it
   * @param lapsesMillis the time until the earliest crash expires, in milliseconds
   */
  public record RestrictedRequest(
      String fingerprint, String subject, Verdict verdict, List<String> ended, long lapsesMillis) {}

  private CrashLedger(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns an empty ledger. */
  public static CrashLedger create(InstantSource clock) {
    return new CrashLedger(clock);
  }

  /** Returns whether no request has crashes; cheap, because it is called for each request. */
  public boolean isEmpty() {
    if (!requests.isEmpty() && !clock.instant().isBefore(nextPurge)) {
      purge();
    }
    return requests.isEmpty();
  }

  /** Removes expired crashes. */
  private void purge() {
    Instant now = clock.instant();
    nextPurge = now.plus(PURGE_INTERVAL);
    requests.values().removeIf(runs -> runs.removeBefore(now.minus(VALIDITY)));
  }

  /** Returns the current verdict on a request. */
  public Verdict verdict(String fingerprint) {
    return find(fingerprint).map(CrashLedger::verdictOf).orElse(Verdict.CLEAR);
  }

  private static Verdict verdictOf(CrashedRuns runs) {
    if (runs.consecutiveCrashes() >= REFUSED_CONSECUTIVE_CRASHES) {
      return Verdict.REFUSED;
    }
    return runs.crashes() >= SUSPECT_CRASHES ? Verdict.SUSPECT : Verdict.CLEAR;
  }

  /** Returns the runs of the request that have not expired. */
  private Optional<CrashedRuns> find(String fingerprint) {
    CrashedRuns runs = requests.get(fingerprint);
    if (runs != null && runs.removeBefore(clock.instant().minus(VALIDITY))) {
      requests.remove(fingerprint);
      return Optional.empty();
    }
    return Optional.ofNullable(runs);
  }

  /** Returns whether the request would run alone if it also crashed the given process. */
  public boolean wouldBeSuspect(String fingerprint, String process) {
    return find(fingerprint)
        .map(runs -> runs.crashesExcept(process) + 1 >= SUSPECT_CRASHES)
        .orElse(false);
  }

  /** Returns the upstream processes whose crashes count against the request. */
  public List<String> crashedProcesses(String fingerprint) {
    return find(fingerprint).map(CrashedRuns::processes).orElse(List.of());
  }

  /** Returns the time until the earliest crash of the request expires. */
  public Duration timeUntilExpiry(String fingerprint) {
    Instant now = clock.instant();
    return find(fingerprint)
        .flatMap(CrashedRuns::earliestCrash)
        .map(earliest -> Duration.between(now, earliest.plus(VALIDITY)))
        .orElse(Duration.ZERO);
  }

  /**
   * Records that an upstream crashed while it ran a request.
   *
   * @param subject the workspace and destination of the request, for operators
   * @param process the upstream process: the name and start time of the upstream
   * @param startedAt when the run started
   * @param crashedAt when the upstream crashed
   */
  public void recordCrash(
      String fingerprint, String subject, String process, Instant startedAt, Instant crashedAt) {
    CrashedRuns runs = getOrCreate(fingerprint, subject);
    if (runs.add(process, startedAt, crashedAt, runs.processesCrashedBefore(startedAt))) {
      recordChange(fingerprint, runs, "observed by this instance");
    }
  }

  /** Records that a request received a complete response, which clears its earlier crashes. */
  public void recordSuccess(String fingerprint) {
    completed.put(fingerprint, clock.instant());
    clear(fingerprint, "the request completed");
  }

  /** Clears the crashes of a request on all instances; returns whether there were any. */
  public boolean clear(String fingerprint) {
    return clear(fingerprint, "cleared by an operator");
  }

  private boolean clear(String fingerprint, String reason) {
    Optional<CrashedRuns> existing = find(fingerprint);
    boolean cleared = existing.map(runs -> runs.clear(clock.instant())).orElse(false);
    if (cleared) {
      recordChange(fingerprint, existing.get(), reason);
    }
    return cleared;
  }

  private CrashedRuns getOrCreate(String fingerprint, String subject) {
    find(fingerprint);
    if (!requests.containsKey(fingerprint) && requests.size() >= MAXIMUM_REQUESTS) {
      evict();
    }
    return requests.computeIfAbsent(fingerprint, unused -> new CrashedRuns(subject));
  }

  private void evict() {
    purge();
    if (requests.size() < MAXIMUM_REQUESTS) {
      return;
    }
    requests.entrySet().stream()
        .min(
            Comparator.<Map.Entry<String, CrashedRuns>>comparingInt(
                    entry -> entry.getValue().crashes())
                .thenComparingLong(entry -> entry.getValue().revision()))
        .ifPresent(evicted -> requests.remove(evicted.getKey()));
  }

  private void recordChange(String fingerprint, CrashedRuns runs, String reason) {
    Optional.ofNullable(completed.get(fingerprint)).ifPresent(runs::clear);
    Verdict verdict = verdictOf(runs);
    Verdict previous = runs.update(verdict, ++revision);
    if (verdict != Verdict.CLEAR) {
      lastSuspectRevision = revision;
    } else if (previous == Verdict.CLEAR) {
      return;
    }
    logger.atInfo().atMostEvery(LOG_PERIOD_MILLIS, TimeUnit.MILLISECONDS).log(
        "request %s of %s has verdict %s: crashed upstreams %s, consecutive crashes %d; %s",
        fingerprint, runs.subject(), verdict, runs.processes(), runs.consecutiveCrashes(), reason);
  }

  /** Returns the revision of the last change. */
  public long revision() {
    return revision;
  }

  /** Returns the revision of the last change of a request with a verdict other than clear. */
  public long lastSuspectRevision() {
    return lastSuspectRevision;
  }

  /** Returns the records that changed after a revision, the earliest change first. */
  public CrashUpdate after(long knownRevision) {
    if (knownRevision >= revision) {
      return new CrashUpdate(List.of(), revision);
    }
    Instant now = clock.instant();
    List<Map.Entry<String, CrashedRuns>> updated =
        requests.entrySet().stream()
            .filter(entry -> entry.getValue().revision() > knownRevision)
            .sorted(Comparator.comparingLong(entry -> entry.getValue().revision()))
            .limit(MAXIMUM_RECORDS_PER_MESSAGE)
            .toList();
    long upTo =
        updated.stream().mapToLong(entry -> entry.getValue().revision()).max().orElse(revision);
    return new CrashUpdate(
        updated.stream().map(entry -> entry.getValue().asOf(now, entry.getKey())).toList(), upTo);
  }

  /** Merges records of another instance. */
  public void merge(List<CrashRecord> records, String from) {
    Instant now = clock.instant();
    records.stream()
        .filter(record -> record != null && record.isSound())
        .forEach(record -> merge(record, now, from));
  }

  private void merge(CrashRecord record, Instant now, String from) {
    List<CrashRecord.CrashedRun> unexpired =
        record.runs().stream().filter(run -> run.endedAgeMillis() < VALIDITY.toMillis()).toList();
    if (unexpired.isEmpty()) {
      return;
    }
    CrashedRuns runs = getOrCreate(record.fingerprint(), record.subject());
    boolean isNew = false;
    for (CrashRecord.CrashedRun run : unexpired) {
      Instant startedAt = now.minusMillis(run.beganAgeMillis());
      Instant crashedAt = now.minusMillis(run.endedAgeMillis());
      isNew |= runs.add(run.process(), startedAt, crashedAt, run.predecessors());
    }
    if (record.clearedAgeMillis() != CrashRecord.NEVER) {
      isNew |= runs.clear(now.minusMillis(record.clearedAgeMillis()));
    }
    if (isNew) {
      recordChange(record.fingerprint(), runs, "reported by " + from);
    }
  }

  /** Returns the requests that run alone or are refused, sorted by fingerprint. */
  public List<RestrictedRequest> restrictedRequests() {
    return List.copyOf(requests.keySet()).stream()
        .sorted()
        .filter(fingerprint -> verdict(fingerprint) != Verdict.CLEAR)
        .map(this::restrictedRequest)
        .toList();
  }

  private RestrictedRequest restrictedRequest(String fingerprint) {
    CrashedRuns runs = requests.get(fingerprint);
    return new RestrictedRequest(
        fingerprint,
        runs.subject(),
        verdict(fingerprint),
        crashedProcesses(fingerprint),
        timeUntilExpiry(fingerprint).toMillis());
  }
}
