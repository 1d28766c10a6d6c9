// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.function.Consumer;

/**
 * Simulates an engine: slots that share its throughput, a queue, prefill and decode times, and a
 * prefix cache with a capacity in tokens and eviction of the least recently used prefix. Not
 * thread-safe.
 */
final class EngineModel {
  static final double PREFILL_MILLIS_PER_TOKEN = 0.25;
  static final double DECODE_MILLIS = 12;
  static final double SLOWDOWN_PER_REQUEST = 0.04;

  private static final double PREFIX_FRACTION = 0.8;
  private static final int CACHE_CAPACITY_TOKENS = 60_000;

  private final VirtualTime time;
  private final int slots;
  private final Deque<Job> waitingJobs = new ArrayDeque<>();
  private final LinkedHashMap<Long, Integer> cachedPrefixTokens =
      new LinkedHashMap<>(16, 0.75f, true);
  private int cachedTokens;
  private int running;
  double slowFactor = 1;
  boolean fails;
  boolean leaving;

  EngineModel(VirtualTime time, int slots) {
    this.time = time;
    this.slots = slots;
  }

  /** A request submitted to an engine; {@code done} receives whether the request succeeded. */
  record Job(Workload.Request request, Runnable firstToken, Consumer<Boolean> done) {}

  /** Returns the mean service time in milliseconds of a request on an engine with a cold cache. */
  static double serviceMillis(int promptTokens, int answerTokens, int concurrentRequests) {
    double decodeMillis =
        answerTokens * DECODE_MILLIS * (1 + SLOWDOWN_PER_REQUEST * concurrentRequests);
    return promptTokens * PREFILL_MILLIS_PER_TOKEN + decodeMillis;
  }

  int running() {
    return running;
  }

  int waiting() {
    return waitingJobs.size();
  }

  void submit(Job job) {
    if (fails) {
      time.after(2, () -> job.done().accept(false));
      return;
    }
    waitingJobs.add(job);
    startNext();
  }

  private void startNext() {
    while (running < slots && !waitingJobs.isEmpty()) {
      start(waitingJobs.poll());
    }
  }

  /** Returns whether the prefix was cached; caches it and evicts least recently used prefixes. */
  private boolean lookUpOrCache(Workload.Request request) {
    int tokens = (int) (request.requestClass().promptTokens() * PREFIX_FRACTION);
    boolean cached = cachedPrefixTokens.put(request.prefix(), tokens) != null;
    cachedTokens += cached ? 0 : tokens;
    Iterator<Integer> leastRecentlyUsed = cachedPrefixTokens.values().iterator();
    while (cachedTokens > CACHE_CAPACITY_TOKENS) {
      cachedTokens -= leastRecentlyUsed.next();
      leastRecentlyUsed.remove();
    }
    return cached;
  }

  private void start(Job job) {
    running++;
    boolean cached = lookUpOrCache(job.request());
    double uncachedTokens = job.request().promptTokens() * (cached ? 1 - PREFIX_FRACTION : 1);
    double prefillMillis = uncachedTokens * PREFILL_MILLIS_PER_TOKEN * slowFactor;
    double tokenMillis = DECODE_MILLIS * (1 + SLOWDOWN_PER_REQUEST * running) * slowFactor;
    time.after(prefillMillis + tokenMillis, job.firstToken());
    time.after(
        prefillMillis + tokenMillis * job.request().answerTokens(),
        () -> {
          running--;
          job.done().accept(true);
          startNext();
        });
  }
}
