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
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.oatlug.internal.util.BoundedMap;

/**
 * Records the requests and prompt parts during which upstreams crashed, as observed by this
 * instance and its peers.
 *
 * <p>Load pattern: a request crashes each upstream that runs it, its caller retries it at any
 * instance, or new requests with the same prompt part come at any instance, and every other request
 * that is open at the upstream fails with it. Therefore crashed upstream processes are counted
 * rather than failed responses, as a set that instances merge; what completes anywhere is cleared
 * of all earlier crashes. A prompt part counts as the cause only together with all other keys that
 * have at least its crashes; once it is the only one, it is convicted, which does not expire, and
 * its crashes no longer count against anything else. Invariants: merging is commutative,
 * associative and idempotent except for the rounding of ages; at most {@link #MAXIMUM_KEYS} keys
 * are kept, and those with the fewest crashes are evicted first, then those that have not changed
 * for longest, so that a flood of requests with one crash each evicts none with several. Owned by
 * one event loop, not thread-safe.
 */
public final class CrashLedger {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The time for which a crash counts against a request: longer than callers take to retry. */
  static final Duration VALIDITY = Duration.ofMinutes(10);

  /** The maximum crashes kept for a request: more than any verdict needs. */
  static final int MAXIMUM_RUNS = 8;

  /**
   * Several times the requests open at the upstreams that crash within {@link #VALIDITY}, and their
   * prompt parts.
   */
  static final int MAXIMUM_KEYS = 1024;

  /** The number of crashes from which a request runs alone on an upstream. */
  private static final int SUSPECT_CRASHES = 2;

  /** The number of consecutive crashes from which a request is refused. */
  private static final int REFUSED_CONSECUTIVE_CRASHES = 3;

  /** The maximum records in one message; the rest follows in the next. */
  private static final int MAXIMUM_RECORDS_PER_MESSAGE = 128;

  /** The maximum completed requests and prompt parts that are remembered. */
  private static final int MAXIMUM_COMPLETED = 4096;

  /** The maximum crashed processes that are remembered: more than any observer has to react to. */
  private static final int MAXIMUM_PROCESSES = 1024;

  /** The interval between removals of expired crashes. */
  private static final Duration PURGE_INTERVAL = Duration.ofSeconds(10);

  /** The minimum interval between log lines about verdicts, in milliseconds. */
  private static final int LOG_PERIOD_MILLIS = 20;

  private final InstantSource clock;
  private final Map<String, CrashedRuns> runsByKey = new HashMap<>();
  private final Map<String, Instant> completed = BoundedMap.withMaximumSize(MAXIMUM_COMPLETED);
  private final Map<String, Boolean> crashedProcesses =
      BoundedMap.withMaximumSize(MAXIMUM_PROCESSES);
  private final CrashExplanations explanations = new CrashExplanations();
  private BiConsumer<String, Instant> onProcessCrash = (process, crashedAt) -> {};
  private boolean needsInference;
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
   * A restricted request or prompt part, as shown to operators.
   *
   * @param fingerprint the fingerprint of the request or the part
   * @param subject the workspace and destination of the request, or the hash of the part
   * @param verdict the verdict on it
   * @param ended the upstream processes that crashed while they ran it
   * @param lapsesMillis the time until the earliest crash expires, in milliseconds; empty for a
   *     convicted part, which only an operator releases
   */
  public record RestrictedRequest(
      String fingerprint,
      String subject,
      Verdict verdict,
      List<String> ended,
      Optional<Long> lapsesMillis) {}

  /**
   * The verdict on a request, and what it follows from.
   *
   * @param verdict the verdict
   * @param cause the key of the request or of its prompt part, empty if the verdict is clear
   */
  public record Assessment(Verdict verdict, String cause) {
    private static final Assessment CLEAR = new Assessment(Verdict.CLEAR, "");
  }

  private CrashLedger(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns an empty ledger. */
  public static CrashLedger create(InstantSource clock) {
    return new CrashLedger(clock);
  }

  /** Returns whether no request has crashes; cheap, because it is called for each request. */
  public boolean isEmpty() {
    if (!runsByKey.isEmpty() && !clock.instant().isBefore(nextPurge)) {
      purge();
    }
    return runsByKey.isEmpty();
  }

  /** Removes expired crashes. */
  private void purge() {
    Instant now = clock.instant();
    nextPurge = now.plus(PURGE_INTERVAL);
    runsByKey.values().removeIf(runs -> runs.removeBefore(now.minus(VALIDITY)));
  }

  /** Sets the action for each upstream process of which a crash becomes known, once. */
  public void onProcessCrash(BiConsumer<String, Instant> action) {
    onProcessCrash = action;
  }

  /** Returns the current verdict on a request or prompt part by itself. */
  public Verdict verdict(String fingerprint) {
    return find(fingerprint).map(runs -> verdictOf(fingerprint, runs)).orElse(Verdict.CLEAR);
  }

  private static Verdict verdictOf(String fingerprint, CrashedRuns runs) {
    if (runs.isConvicted()) {
      return Verdict.REFUSED;
    }
    if (runs.crashes() < SUSPECT_CRASHES) {
      return Verdict.CLEAR;
    }
    int consecutive = runs.consecutiveCrashes();
    if (consecutive >= REFUSED_CONSECUTIVE_CRASHES) {
      return Verdict.REFUSED;
    }
    // Many requests with one part are open at the same time, so several upstreams that crash
    // together tell little about it.
    boolean suspect = !RequestFingerprint.isPart(fingerprint) || consecutive >= SUSPECT_CRASHES;
    return suspect ? Verdict.SUSPECT : Verdict.CLEAR;
  }

  /**
   * Returns the verdict on a request with all its keys. A key counts against it only if the request
   * has all other keys, too, that could explain the same crashes.
   */
  public Assessment assess(CrashKeys keys) {
    inferConvictions();
    Assessment worst = Assessment.CLEAR;
    for (String key : keys.all()) {
      Verdict verdict = verdict(key);
      if (verdict.compareTo(worst.verdict()) > 0 && containsAlternatives(keys, key)) {
        worst = new Assessment(verdict, key);
      }
    }
    return worst;
  }

  /** Returns whether the request has every key that has at least the crashes of the given one. */
  private boolean containsAlternatives(CrashKeys keys, String key) {
    CrashedRuns runs = runsByKey.get(key);
    if (runs.isConvicted()) {
      return true;
    }
    Set<String> processes = Set.copyOf(runs.processes());
    return runsByKey.entrySet().stream()
        .filter(entry -> isAlternative(entry.getKey(), key))
        .filter(entry -> entry.getValue().hasCrashed(processes))
        .allMatch(entry -> keys.contains(entry.getKey()));
  }

  /** Returns whether one key could explain the crashes of the other; two whole requests do not. */
  private static boolean isAlternative(String key, String other) {
    return !key.equals(other)
        && (RequestFingerprint.isPart(key) || RequestFingerprint.isPart(other));
  }

  /** Convicts the prompt parts that alone explain their crashes, those with the most first. */
  private void inferConvictions() {
    if (!needsInference) {
      return;
    }
    needsInference = false;
    Optional<String> next = nextConviction();
    while (next.isPresent() && convict(next.get())) {
      next = nextConviction();
    }
  }

  private Optional<String> nextConviction() {
    return List.copyOf(runsByKey.keySet()).stream()
        .filter(RequestFingerprint::isPart)
        .filter(part -> verdict(part) == Verdict.REFUSED && !runsByKey.get(part).isConvicted())
        .filter(part -> containsAlternatives(new CrashKeys(part, List.of()), part))
        .max(
            Comparator.<String>comparingInt(part -> runsByKey.get(part).crashes())
                .thenComparing(Comparator.naturalOrder()));
  }

  private boolean convict(String part) {
    CrashedRuns runs = runsByKey.get(part);
    boolean isNew = runs.convict(clock.instant());
    if (isNew) {
      recordChange(part, runs, "no other key has all its crashes");
    }
    return isNew;
  }

  /** Returns the runs of the request or prompt part that have not expired. */
  private Optional<CrashedRuns> find(String fingerprint) {
    CrashedRuns runs = runsByKey.get(fingerprint);
    if (runs != null && runs.removeBefore(clock.instant().minus(VALIDITY))) {
      remove(fingerprint);
      return Optional.empty();
    }
    return Optional.ofNullable(runs);
  }

  private void remove(String fingerprint) {
    runsByKey.remove(fingerprint);
    explanations.withdraw(fingerprint);
  }

  /**
   * Returns whether a retry of a request after an interrupted response risks another crash: the
   * request would be a suspect if it crashed the given process, or it has a prompt part that has
   * never completed here and was open at another process when that crashed.
   */
  public boolean blocksRetry(CrashKeys keys, String process) {
    return wouldBeSuspect(keys.request(), process)
        || keys.parts().stream()
            .filter(part -> !completed.containsKey(part))
            .flatMap(part -> find(part).stream())
            .anyMatch(runs -> runs.crashesExcept(process) > 0);
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

  /**
   * Returns the time until a refused request may run again, as the earliest of its crashes expires;
   * empty for a convicted prompt part, which only an operator releases.
   */
  public Optional<Duration> timeUntilRelease(String fingerprint) {
    boolean convicted = find(fingerprint).map(CrashedRuns::isConvicted).orElse(false);
    return convicted ? Optional.empty() : Optional.of(timeUntilExpiry(fingerprint));
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
    noteProcessCrash(process, crashedAt);
  }

  private void noteProcessCrash(String process, Instant crashedAt) {
    if (crashedProcesses.put(process, Boolean.TRUE) == null) {
      onProcessCrash.accept(process, crashedAt);
    }
  }

  /** Records that a request received a complete response, which clears its earlier crashes. */
  public void recordSuccess(String fingerprint) {
    completed.put(fingerprint, clock.instant());
    clear(fingerprint, "a request completed");
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
    if (!runsByKey.containsKey(fingerprint) && runsByKey.size() >= MAXIMUM_KEYS) {
      evict();
    }
    return runsByKey.computeIfAbsent(
        fingerprint,
        key ->
            new CrashedRuns(subject, process -> explanations.isExplainedByAnother(process, key)));
  }

  private void evict() {
    purge();
    if (runsByKey.size() < MAXIMUM_KEYS) {
      return;
    }
    runsByKey.entrySet().stream()
        .min(
            Comparator.<Map.Entry<String, CrashedRuns>, Boolean>comparing(
                    entry -> entry.getValue().isConvicted())
                .thenComparingInt(entry -> entry.getValue().crashes())
                .thenComparingLong(entry -> entry.getValue().revision()))
        .ifPresent(evicted -> remove(evicted.getKey()));
  }

  private void recordChange(String fingerprint, CrashedRuns runs, String reason) {
    Optional.ofNullable(completed.get(fingerprint)).ifPresent(runs::clear);
    if (runs.isConvicted()) {
      explanations.explain(runs.processes(), fingerprint);
    } else {
      explanations.withdraw(fingerprint);
    }
    needsInference = true;
    Verdict verdict = verdictOf(fingerprint, runs);
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

  /**
   * Returns the records that changed after a revision, the earliest change first; convicted prompt
   * parts are always among them, so that an instance that starts knows these at once.
   */
  public CrashUpdate after(long knownRevision) {
    if (knownRevision >= revision) {
      return new CrashUpdate(List.of(), revision);
    }
    Instant now = clock.instant();
    List<Map.Entry<String, CrashedRuns>> changed =
        runsByKey.entrySet().stream()
            .filter(entry -> entry.getValue().revision() > knownRevision)
            .sorted(Comparator.comparingLong(entry -> entry.getValue().revision()))
            .toList();
    List<Map.Entry<String, CrashedRuns>> next =
        changed.stream().limit(MAXIMUM_RECORDS_PER_MESSAGE).toList();
    Stream<Map.Entry<String, CrashedRuns>> convictedLater =
        changed.stream()
            .skip(MAXIMUM_RECORDS_PER_MESSAGE)
            .filter(entry -> entry.getValue().isConvicted())
            .limit(MAXIMUM_RECORDS_PER_MESSAGE);
    long upTo =
        next.stream().mapToLong(entry -> entry.getValue().revision()).max().orElse(revision);
    return new CrashUpdate(
        Stream.concat(next.stream(), convictedLater)
            .map(entry -> entry.getValue().asOf(now, entry.getKey()))
            .toList(),
        upTo);
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
    boolean isRelevant =
        !unexpired.isEmpty()
            || record.convictedAgeMillis() != null
            || runsByKey.containsKey(record.fingerprint());
    if (!isRelevant) {
      return;
    }
    CrashedRuns runs = getOrCreate(record.fingerprint(), record.subject());
    boolean isNew = false;
    for (CrashRecord.CrashedRun run : unexpired) {
      Instant startedAt = now.minusMillis(run.beganAgeMillis());
      Instant crashedAt = now.minusMillis(run.endedAgeMillis());
      isNew |= runs.add(run.process(), startedAt, crashedAt, run.predecessors());
      noteProcessCrash(run.process(), crashedAt);
    }
    if (record.clearedAgeMillis() != CrashRecord.NEVER) {
      isNew |= runs.clear(now.minusMillis(record.clearedAgeMillis()));
    }
    if (record.convictedAgeMillis() != null) {
      isNew |= runs.convict(now.minusMillis(record.convictedAgeMillis()));
    }
    if (isNew) {
      recordChange(record.fingerprint(), runs, "reported by " + from);
    }
  }

  /** Returns the requests that run alone or are refused, sorted by fingerprint. */
  public List<RestrictedRequest> restrictedRequests() {
    inferConvictions();
    return List.copyOf(runsByKey.keySet()).stream()
        .sorted()
        .filter(fingerprint -> verdict(fingerprint) != Verdict.CLEAR)
        .filter(
            fingerprint ->
                !RequestFingerprint.isPart(fingerprint) || runsByKey.get(fingerprint).isConvicted())
        .map(this::restrictedRequest)
        .toList();
  }

  private RestrictedRequest restrictedRequest(String fingerprint) {
    CrashedRuns runs = runsByKey.get(fingerprint);
    return new RestrictedRequest(
        fingerprint,
        runs.subject(),
        verdict(fingerprint),
        crashedProcesses(fingerprint),
        timeUntilRelease(fingerprint).map(Duration::toMillis));
  }
}
