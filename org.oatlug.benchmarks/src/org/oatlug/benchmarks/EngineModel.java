// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.function.Consumer;

/**
 * A small model of an engine: slots that share its speed, a queue, prefill and decode times, and a
 * prefix cache of so many tokens that forgets the prefix that was not used for longest. Used from
 * one thread.
 */
final class EngineModel {
  static final double PREFILL_MILLIS_PER_TOKEN = 0.25;
  static final double DECODE_MILLIS = 12;
  static final double SHARING = 0.04;

  private static final double PREFIX_SHARE = 0.8;
  private static final int CACHE_TOKENS = 60_000;

  private final VirtualTime time;
  private final int slots;
  private final Deque<Job> queue = new ArrayDeque<>();
  private final LinkedHashMap<Long, Integer> prefixes = new LinkedHashMap<>(16, 0.75f, true);
  private int cachedTokens;
  private int running;
  double slowFactor = 1;
  boolean fails;
  boolean leaving;

  EngineModel(VirtualTime time, int slots) {
    this.time = time;
    this.slots = slots;
  }

  /** A request at an engine; {@code done} is told whether it was answered. */
  record Job(Workload.Request request, Runnable firstToken, Consumer<Boolean> done) {}

  /** Returns the mean service time of a request on a full engine with a cold cache. */
  static double serviceMillis(int promptTokens, int answerTokens, int sharing) {
    double decode = answerTokens * DECODE_MILLIS * (1 + SHARING * sharing);
    return promptTokens * PREFILL_MILLIS_PER_TOKEN + decode;
  }

  int running() {
    return running;
  }

  int waiting() {
    return queue.size();
  }

  void submit(Job job) {
    if (fails) {
      time.after(2, () -> job.done().accept(false));
      return;
    }
    queue.add(job);
    startNext();
  }

  private void startNext() {
    while (running < slots && !queue.isEmpty()) {
      start(queue.poll());
    }
  }

  /** Returns whether the prefix is cached, and caches it, forgetting those not used for longest. */
  private boolean useCache(Workload.Request request) {
    int tokens = (int) (request.requestClass().promptTokens() * PREFIX_SHARE);
    boolean cached = prefixes.put(request.prefix(), tokens) != null;
    cachedTokens += cached ? 0 : tokens;
    Iterator<Integer> eldest = prefixes.values().iterator();
    while (cachedTokens > CACHE_TOKENS) {
      cachedTokens -= eldest.next();
      eldest.remove();
    }
    return cached;
  }

  private void start(Job job) {
    running++;
    boolean cached = useCache(job.request());
    double prompt = job.request().promptTokens() * (cached ? 1 - PREFIX_SHARE : 1);
    double prefill = prompt * PREFILL_MILLIS_PER_TOKEN * slowFactor;
    double token = DECODE_MILLIS * (1 + SHARING * running) * slowFactor;
    time.after(prefill + token, job.firstToken());
    time.after(
        prefill + token * job.request().answerTokens(),
        () -> {
          running--;
          job.done().accept(true);
          startNext();
        });
  }
}
