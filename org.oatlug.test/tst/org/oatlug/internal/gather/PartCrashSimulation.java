// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.oatlug.internal.crash.AbandonedAttempts;
import org.oatlug.internal.crash.CrashKeys;
import org.oatlug.internal.crash.CrashLedger.Verdict;
import org.oatlug.internal.crash.RequestFingerprint;
import org.oatlug.internal.gather.StateExchangeFleet.Instance;

/**
 * Simulates in virtual time a fleet whose upstreams crash as they begin to answer prompts with
 * certain parts, whatever else these hold. No two requests are alike; each has the part of its
 * route, and one of many subjects. Used from one thread.
 */
final class PartCrashSimulation {
  private static final int MAXIMUM_ATTEMPTS = 3;
  private static final int ROUTES = 3;
  private static final int SUBJECTS = 60;
  private static final long FIRST_SUBJECT = 1000;
  private static final Duration RESTART_TIME = Duration.ofMillis(3000);
  private static final Duration CRASH_AFTER_HEAD = Duration.ofMillis(55);
  private static final Duration BEGINNING = Duration.ofMillis(500);
  private static final Duration CALLER_RETRY_DELAY = Duration.ofMillis(250);
  private static final Duration REPLICATED_WITHIN = Duration.ofSeconds(3);
  private static final int CRASHES_TO_REPLICATE = 5;

  /** Decides which requests are refused. */
  enum Policy {
    /** Looks at whole requests only. */
    WHOLE,
    /** Refuses each part with three crashes since it last completed. */
    COUNT,
    /** Refuses what alone explains its crashes. */
    INFER
  }

  private final StateExchangeFleet fleet;
  private final Policy policy;
  private final Random random;
  private final List<Upstream> upstreams = new ArrayList<>();
  private final Map<Instance, AbandonedAttempts> abandoned = new IdentityHashMap<>();
  private final Map<Instance, Set<String>> isolated = new IdentityHashMap<>();
  private final Map<Long, List<Instant>> crashesByPart = new HashMap<>();
  private final Map<Long, Integer> lateByPart = new HashMap<>();
  private int requests;
  private int crashed;
  private int settledSound;
  private int settledSoundBegun;
  private int sound;
  private int soundRefused;

  PartCrashSimulation(StateExchangeFleet fleet, Policy policy, int upstreamCount, long seed) {
    this.fleet = fleet;
    this.policy = policy;
    this.random = new Random(seed);
    for (int number = 0; number < upstreamCount; number++) {
      upstreams.add(new Upstream("i-" + number));
    }
    fleet.instances().forEach(this::connect);
  }

  private void connect(Instance instance) {
    AbandonedAttempts attempts = AbandonedAttempts.create();
    abandoned.put(instance, attempts);
    isolated.put(instance, new HashSet<>());
    instance.ledger.onProcessCrash(
        (process, crashedAt) ->
            attempts
                .takeAtCrash(process, crashedAt)
                .forEach(
                    attempt ->
                        attempt
                            .parts()
                            .forEach(
                                part ->
                                    recordCrash(
                                        instance, part, process, attempt.startedAt(), crashedAt))));
  }

  private static void recordCrash(
      Instance instance, long part, String process, Instant startedAt, Instant crashedAt) {
    instance.ledger.recordCrash(RequestFingerprint.ofPart(part), "", process, startedAt, crashedAt);
  }

  private static final class Upstream {
    final String name;
    final List<Run> runs = new ArrayList<>();
    int incarnation;
    boolean down;

    Upstream(String name) {
      this.name = name;
    }

    String process() {
      return name + "@" + incarnation;
    }
  }

  /** One try of a caller at one instance. */
  private static final class Try {
    final List<Long> parts;
    final CrashKeys keys;
    final Optional<Long> deadly;
    final Instance instance;
    final boolean counted;
    int attempts;
    boolean begun;

    Try(List<Long> parts, CrashKeys keys, Optional<Long> deadly, Instance at, boolean counted) {
      this.parts = parts;
      this.keys = keys;
      this.deadly = deadly;
      this.instance = at;
      this.counted = counted;
    }
  }

  private static final class Run {
    final Try request;
    final Instant startedAt;
    final Optional<String> isolatedFor;
    Optional<Instant> headAt = Optional.empty();
    boolean open = true;

    Run(Try request, Instant startedAt, Optional<String> isolatedFor) {
      this.request = request;
      this.startedAt = startedAt;
      this.isolatedFor = isolatedFor;
    }
  }

  private Instant now() {
    return fleet.clock().instant();
  }

  private Duration millis(int minimum, int maximum) {
    return Duration.ofMillis(minimum + random.nextInt(maximum - minimum));
  }

  private Instance anyInstance() {
    List<Instance> running =
        fleet.instances().stream().filter(instance -> !fleet.isStopped(instance.name())).toList();
    return running.get(random.nextInt(running.size()));
  }

  /**
   * Sends requests at a steady rate.
   *
   * @param deadlyParts the parts that crash upstreams, in turn
   * @param oneIn sends one request with such a part in so many
   */
  void send(Duration pause, int count, List<Long> deadlyParts, int oneIn) {
    for (int number = 0; number < count; number++) {
      boolean isDeadly = !deadlyParts.isEmpty() && number % oneIn == oneIn - 1;
      Optional<Long> deadly =
          isDeadly
              ? Optional.of(deadlyParts.get(number / oneIn % deadlyParts.size()))
              : Optional.empty();
      fleet.after(pause.multipliedBy(number), () -> begin(newTry(deadly, deadlyParts)));
    }
  }

  private Try newTry(Optional<Long> deadly, List<Long> deadlyParts) {
    List<Long> parts = new ArrayList<>(List.of((long) random.nextInt(ROUTES)));
    double popularity = random.nextDouble();
    parts.add(FIRST_SUBJECT + (long) (SUBJECTS * popularity * popularity));
    deadly.ifPresent(parts::add);
    String own = Integer.toString(requests++);
    String request = RequestFingerprint.of("host", "/", "", own.getBytes(StandardCharsets.UTF_8));
    List<String> keys =
        policy == Policy.WHOLE
            ? List.of()
            : parts.stream().map(RequestFingerprint::ofPart).toList();
    boolean counted = deadly.isEmpty() && isSettled(deadlyParts);
    settledSound += counted ? 1 : 0;
    sound += deadly.isPresent() ? 0 : 1;
    return new Try(parts, new CrashKeys(request, keys), deadly, anyInstance(), counted);
  }

  /** Returns whether all parts have been known for as long as it takes to stop them everywhere. */
  private boolean isSettled(List<Long> deadlyParts) {
    Instant settledBefore = now().minus(REPLICATED_WITHIN.multipliedBy(2));
    return deadlyParts.stream()
        .allMatch(
            part -> {
              List<Instant> crashes = crashesByPart.getOrDefault(part, List.of());
              int last = Math.min(CRASHES_TO_REPLICATE, crashes.size()) - 1;
              return last >= 0 && crashes.get(last).isBefore(settledBefore);
            });
  }

  private Optional<Verdict> restriction(Try request) {
    if (policy == Policy.COUNT) {
      boolean refused =
          request.keys.parts().stream()
              .anyMatch(part -> request.instance.ledger.crashedProcesses(part).size() >= 3);
      return refused ? Optional.of(Verdict.REFUSED) : Optional.empty();
    }
    Verdict verdict = request.instance.ledger.assess(request.keys).verdict();
    return verdict == Verdict.CLEAR ? Optional.empty() : Optional.of(verdict);
  }

  private void begin(Try request) {
    Optional<Verdict> restriction = restriction(request);
    Optional<String> cause = Optional.empty();
    if (restriction.isPresent()) {
      cause = Optional.of(request.instance.ledger.assess(request.keys).cause());
      boolean mustWait =
          restriction.get() == Verdict.REFUSED
              || isolated.get(request.instance).contains(cause.get());
      if (mustWait) {
        soundRefused += request.deadly.isEmpty() ? 1 : 0;
        return;
      }
    }
    attempt(request, cause);
  }

  private void attempt(Try request, Optional<String> cause) {
    List<Upstream> up = upstreams.stream().filter(upstream -> !upstream.down).toList();
    if (up.isEmpty()) {
      return;
    }
    request.attempts++;
    request.deadly.ifPresent(this::countLate);
    Upstream upstream = up.get(random.nextInt(up.size()));
    Run run = new Run(request, now(), cause);
    cause.ifPresent(isolated.get(request.instance)::add);
    upstream.runs.add(run);
    Duration untilHead = millis(40, 120).plusMillis(8L * upstream.runs.size());
    int incarnation = upstream.incarnation;
    fleet.after(untilHead, () -> headSent(upstream, incarnation, run));
  }

  private void countLate(long part) {
    List<Instant> crashes = crashesByPart.getOrDefault(part, List.of());
    if (crashes.size() >= CRASHES_TO_REPLICATE
        && now().isAfter(crashes.get(CRASHES_TO_REPLICATE - 1).plus(REPLICATED_WITHIN))) {
      lateByPart.merge(part, 1, Integer::sum);
    }
  }

  private void headSent(Upstream upstream, int incarnation, Run run) {
    if (upstream.incarnation != incarnation || !run.open) {
      return;
    }
    Try request = run.request;
    run.headAt = Optional.of(now());
    if (!request.begun) {
      request.begun = true;
      settledSoundBegun += request.counted ? 1 : 0;
    }
    request.deadly.ifPresent(
        part ->
            fleet.after(
                CRASH_AFTER_HEAD,
                () -> {
                  if (upstream.incarnation == incarnation) {
                    crashesByPart.computeIfAbsent(part, unused -> new ArrayList<>()).add(now());
                    crash(upstream);
                  }
                }));
    boolean lowConfidence = request.attempts < MAXIMUM_ATTEMPTS && random.nextBoolean();
    if (lowConfidence && !request.instance.ledger.blocksRetry(request.keys, upstream.process())) {
      abandoned
          .get(request.instance)
          .add(
              upstream.process(),
              new AbandonedAttempts.Attempt(request.parts, run.startedAt, now()));
      close(upstream, run);
      begin(request);
      return;
    }
    fleet.after(BEGINNING, () -> progressed(run));
    fleet.after(millis(300, 4000), () -> completed(upstream, run));
  }

  private void progressed(Run run) {
    if (run.open) {
      run.request.keys.parts().forEach(run.request.instance.ledger::recordSuccess);
    }
  }

  private void completed(Upstream upstream, Run run) {
    if (run.open) {
      close(upstream, run);
      run.request.keys.parts().forEach(run.request.instance.ledger::recordSuccess);
      run.request.instance.ledger.recordSuccess(run.request.keys.request());
    }
  }

  private void close(Upstream upstream, Run run) {
    run.open = false;
    upstream.runs.remove(run);
    run.isolatedFor.ifPresent(isolated.get(run.request.instance)::remove);
  }

  /** Crashes some upstreams at once, independent of their requests. */
  void crashSome(int count) {
    upstreams.stream().limit(count).filter(upstream -> !upstream.down).forEach(this::crash);
  }

  private void crash(Upstream upstream) {
    crashed++;
    final List<Run> failed = List.copyOf(upstream.runs);
    final String process = upstream.process();
    upstream.incarnation++;
    upstream.down = true;
    fleet.after(RESTART_TIME, () -> upstream.down = false);
    failed.forEach(run -> close(upstream, run));
    failed.forEach(run -> interrupted(run, process));
  }

  private void interrupted(Run run, String process) {
    Try request = run.request;
    Instance instance = request.instance;
    boolean mayRetry =
        request.attempts < MAXIMUM_ATTEMPTS && !instance.ledger.blocksRetry(request.keys, process);
    boolean hasBegun = run.headAt.map(head -> now().isAfter(head.plus(BEGINNING))).orElse(false);
    if (policy != Policy.WHOLE && !hasBegun) {
      request.parts.forEach(part -> recordCrash(instance, part, process, run.startedAt, now()));
    }
    instance.ledger.recordCrash(request.keys.request(), "", process, run.startedAt, now());
    if (mayRetry) {
      fleet.after(Duration.ofMillis(2), () -> begin(request));
    } else {
      fleet.after(CALLER_RETRY_DELAY, () -> retryByCaller(request));
    }
  }

  private void retryByCaller(Try request) {
    begin(new Try(request.parts, request.keys, request.deadly, anyInstance(), false));
  }

  /** Returns the number of upstream processes that crashed. */
  int crashed() {
    return crashed;
  }

  /** Returns the largest number of attempts of one part after it had to be known everywhere. */
  int sentLate() {
    return lateByPart.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  /** Returns the share of the sound requests sent from then on that began at the first try. */
  double soundShare() {
    return settledSound == 0 ? 1 : (double) settledSoundBegun / settledSound;
  }

  /** Returns the number of sound requests, without repetitions by callers. */
  int sound() {
    return sound;
  }

  /** Returns the number of sound tries that were refused for crashes. */
  int soundRefused() {
    return soundRefused;
  }
}
