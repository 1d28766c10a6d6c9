// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A small model of an engine: slots that share its speed, a queue, prefill and decode times, and a
 * prefix cache that forgets the prefix that was not used for longest. Used from one thread.
 */
final class EngineModel {
  static final double PREFILL_MILLIS_PER_TOKEN = 0.25;
  static final double DECODE_MILLIS = 12;
  static final double SHARING = 0.04;

  private static final double PREFIX_SHARE = 0.8;
  private static final int CACHED_PREFIXES = 48;

  private final VirtualTime time;
  private final int slots;
  private final Deque<Job> queue = new ArrayDeque<>();
  private final Map<Long, Boolean> prefixes =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
          return size() > CACHED_PREFIXES;
        }
      };
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

  private void start(Job job) {
    running++;
    boolean cached = prefixes.put(job.request().prefix(), true) != null;
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
