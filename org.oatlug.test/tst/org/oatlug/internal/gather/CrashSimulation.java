// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.oatlug.internal.crash.CrashLedger.Verdict;
import org.oatlug.internal.crash.RequestFingerprint;
import org.oatlug.internal.gather.StateExchangeFleet.Instance;

/**
 * Simulates in virtual time a fleet whose upstreams crash under some requests while they serve
 * innocent ones: a few that repeat at a steady rate, and long ones that are sent once. Used from
 * one thread.
 */
final class CrashSimulation {
  private static final int MAXIMUM_ATTEMPTS = 3;
  private static final Duration RESTART_TIME = Duration.ofMillis(2500);
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  /** Decides from the recorded crashes whether a request runs, runs in isolation or is refused. */
  enum Policy {
    /** Refuses a request after three upstream processes crashed under it. */
    COUNT,
    /** Like COUNT, but only consecutive crashes count, and a completed run clears them. */
    CLEARED,
    /** Like CLEARED, and runs a request in isolation after two crashes. */
    ISOLATE
  }

  private final StateExchangeFleet fleet;
  private final Policy policy;
  private final Random random;
  private final List<Upstream> upstreams = new ArrayList<>();
  private final Map<String, Set<String>> isolatedFingerprints = new HashMap<>();
  private final Map<String, Integer> crashesByRequest = new HashMap<>();
  private final Map<String, Instant> thirdCrashAt = new HashMap<>();
  private int crashed;
  private int guiltySentLate;
  private int innocent;
  private int innocentRefused;
  private int innocentServed;
  private long longRequests;

  CrashSimulation(StateExchangeFleet fleet, Policy policy, int upstreamCount, long seed) {
    this.fleet = fleet;
    this.policy = policy;
    this.random = new Random(seed);
    for (int number = 0; number < upstreamCount; number++) {
      upstreams.add(new Upstream("i-" + number));
    }
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

  /** One request of a caller, which the instance may attempt several times. */
  private static final class CallerRequest {
    final String fingerprint;
    final Optional<Duration> crashesUpstreamAfter;
    final Duration serviceTime;
    final Instance instance;
    final int callerRetriesLeft;
    int attempts;
    Set<String> triedUpstreams = new HashSet<>();

    CallerRequest(
        String fingerprint,
        Optional<Duration> crashesUpstreamAfter,
        Duration serviceTime,
        Instance instance,
        int callerRetriesLeft) {
      this.fingerprint = fingerprint;
      this.crashesUpstreamAfter = crashesUpstreamAfter;
      this.serviceTime = serviceTime;
      this.instance = instance;
      this.callerRetriesLeft = callerRetriesLeft;
    }
  }

  private record Run(CallerRequest request, Instant began, boolean isolated) {}

  private Instant now() {
    return fleet.clock().instant();
  }

  private Instance anyInstance() {
    List<Instance> all = fleet.instances();
    return all.get(random.nextInt(all.size()));
  }

  private Duration millis(int minimum, int maximum) {
    return Duration.ofMillis(minimum + random.nextInt(maximum - minimum));
  }

  /** Repeatedly sends a request that crashes each upstream that runs it. */
  void sendGuilty(String name, Duration pause, int times) {
    String fingerprint = RequestFingerprint.of("host", "/guilty", name, new byte[0]);
    for (int round = 0; round < times; round++) {
      fleet.after(
          pause.multipliedBy(round),
          () -> {
            Optional<Duration> crashAfter = Optional.of(millis(50, 200));
            begin(
                new CallerRequest(
                    fingerprint, crashAfter, Duration.ofSeconds(10), anyInstance(), 1));
          });
    }
  }

  /** Sends the same innocent request repeatedly. */
  void sendOften(String name, Duration pause, int times) {
    String fingerprint = RequestFingerprint.of("host", "/often", name, new byte[0]);
    sendInnocent(pause, times, () -> fingerprint, 20, 90);
  }

  /** Sends distinct long innocent requests. */
  void sendLong(Duration pause, int times) {
    sendInnocent(
        pause,
        times,
        () ->
            RequestFingerprint.of(
                "host",
                "/long",
                "own",
                Long.toString(longRequests++).getBytes(StandardCharsets.UTF_8)),
        500,
        3000);
  }

  private void sendInnocent(
      Duration pause, int times, Supplier<String> fingerprint, int minimum, int maximum) {
    for (int round = 0; round < times; round++) {
      fleet.after(
          pause.multipliedBy(round),
          () -> {
            innocent++;
            begin(
                new CallerRequest(
                    fingerprint.get(),
                    Optional.empty(),
                    millis(minimum, maximum),
                    anyInstance(),
                    1));
          });
    }
  }

  private Verdict verdict(CallerRequest request) {
    if (policy == Policy.COUNT) {
      int count = request.instance.ledger.crashedProcesses(request.fingerprint).size();
      return count >= 3 ? Verdict.REFUSED : Verdict.CLEAR;
    }
    Verdict verdict = request.instance.ledger.verdict(request.fingerprint);
    return policy == Policy.CLEARED && verdict == Verdict.SUSPECT ? Verdict.CLEAR : verdict;
  }

  private void begin(CallerRequest request) {
    Verdict verdict = verdict(request);
    boolean alreadyIsolated =
        verdict == Verdict.SUSPECT && isolatedAt(request.instance).contains(request.fingerprint);
    if (verdict == Verdict.REFUSED || alreadyIsolated) {
      refuse(request, verdict);
      return;
    }
    attempt(request, verdict == Verdict.SUSPECT);
  }

  private Set<String> isolatedAt(Instance instance) {
    return isolatedFingerprints.computeIfAbsent(instance.name(), unused -> new HashSet<>());
  }

  private void refuse(CallerRequest request, Verdict verdict) {
    if (request.crashesUpstreamAfter.isPresent()) {
      return;
    }
    if (verdict == Verdict.REFUSED) {
      innocentRefused++;
    } else {
      retryLater(request);
    }
  }

  private void retryLater(CallerRequest request) {
    if (request.callerRetriesLeft > 0) {
      Instance next = anyInstance();
      int retriesLeft = request.callerRetriesLeft - 1;
      fleet.after(
          RETRY_DELAY,
          () ->
              begin(
                  new CallerRequest(
                      request.fingerprint,
                      request.crashesUpstreamAfter,
                      request.serviceTime,
                      next,
                      retriesLeft)));
    }
  }

  private void attempt(CallerRequest request, boolean isolated) {
    Optional<Upstream> chosen = choose(request, isolated);
    if (chosen.isEmpty()) {
      retryLater(request);
      return;
    }
    request.attempts++;
    request.triedUpstreams.add(chosen.get().name);
    countLateSend(request);
    Upstream upstream = chosen.get();
    Run run = new Run(request, now(), isolated);
    upstream.runs.add(run);
    if (isolated) {
      isolatedAt(request.instance).add(request.fingerprint);
    }
    int incarnation = upstream.incarnation;
    Duration runsFor = request.crashesUpstreamAfter.orElse(request.serviceTime);
    fleet.after(runsFor, () -> finish(upstream, incarnation, run));
  }

  private void countLateSend(CallerRequest request) {
    boolean late =
        Optional.ofNullable(thirdCrashAt.get(request.fingerprint))
            .map(thirdCrash -> now().isAfter(thirdCrash.plusSeconds(3)))
            .orElse(false);
    if (late && request.crashesUpstreamAfter.isPresent()) {
      guiltySentLate++;
    }
  }

  private Optional<Upstream> choose(CallerRequest request, boolean isolated) {
    Comparator<Upstream> order =
        isolated
            ? Comparator.comparingInt(upstream -> openRuns(request.instance, upstream))
            : Comparator.comparingInt(upstream -> isolatedRuns(request.instance, upstream));
    List<Upstream> shuffled = new ArrayList<>(upstreams);
    Collections.shuffle(shuffled, random);
    return shuffled.stream()
        .filter(upstream -> !upstream.down && !request.triedUpstreams.contains(upstream.name))
        .min(order);
  }

  private int openRuns(Instance instance, Upstream upstream) {
    return (int) upstream.runs.stream().filter(run -> run.request().instance == instance).count();
  }

  private int isolatedRuns(Instance instance, Upstream upstream) {
    return (int)
        upstream.runs.stream()
            .filter(run -> run.isolated() && run.request().instance == instance)
            .count();
  }

  private void finish(Upstream upstream, int incarnation, Run run) {
    if (upstream.incarnation != incarnation || !upstream.runs.contains(run)) {
      return;
    }
    if (run.request().crashesUpstreamAfter.isPresent()) {
      crash(upstream, run);
      return;
    }
    upstream.runs.remove(run);
    isolatedAt(run.request().instance).remove(run.request().fingerprint);
    innocentServed++;
    if (policy != Policy.COUNT && !run.request().instance.ledger.isEmpty()) {
      run.request().instance.ledger.recordSuccess(run.request().fingerprint);
    }
  }

  private void crash(Upstream upstream, Run run) {
    crashed++;
    if (crashesByRequest.merge(run.request().fingerprint, 1, Integer::sum) == 3) {
      thirdCrashAt.put(run.request().fingerprint, now());
    }
    restart(upstream);
  }

  /** Crashes the process of an upstream, which fails its runs and restarts as a new process. */
  private void restart(Upstream upstream) {
    final List<Run> failed = List.copyOf(upstream.runs);
    final String process = upstream.process();
    upstream.runs.clear();
    upstream.incarnation++;
    upstream.down = true;
    fleet.after(RESTART_TIME, () -> upstream.down = false);
    failed.forEach(run -> runFailed(run, process));
  }

  private void runFailed(Run run, String process) {
    CallerRequest request = run.request();
    isolatedAt(request.instance).remove(request.fingerprint);
    boolean isSuspect =
        policy == Policy.ISOLATE
            && request.instance.ledger.wouldBeSuspect(request.fingerprint, process);
    request.instance.ledger.recordCrash(request.fingerprint, "", process, run.began(), now());
    if (isSuspect || request.attempts >= MAXIMUM_ATTEMPTS) {
      retryLater(request);
    } else {
      fleet.after(Duration.ofMillis(1), () -> begin(request));
    }
  }

  /** Crashes some upstreams at once, independent of their requests. */
  void crashSome(int count) {
    upstreams.stream()
        .limit(count)
        .filter(upstream -> !upstream.down)
        .toList()
        .forEach(this::restart);
  }

  /** Returns the number of upstream processes that crashed under requests. */
  int crashed() {
    return crashed;
  }

  /** Returns the attempts of guilty requests sent over three seconds after their third crash. */
  int guiltySentLate() {
    return guiltySentLate;
  }

  int innocent() {
    return innocent;
  }

  int innocentRefused() {
    return innocentRefused;
  }

  int innocentServed() {
    return innocentServed;
  }
}
