// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The requests of a deployment: classes with their shares and lengths, in sessions that share the
 * start of their prompts. Immutable, thread-safe.
 *
 * @param name the deployment
 * @param engines the number of engines
 * @param instances the number of entry instances
 * @param classes the classes of requests
 */
record Workload(String name, int engines, int instances, List<RequestClass> classes) {
  static final int SLOTS = 8;

  private static final int SESSIONS_PER_CLASS = 120;
  private static final double LEAST_SHARE = 0.5;

  /**
   * A class of requests.
   *
   * @param task the task name
   * @param share the share of all requests
   * @param promptTokens the mean length of the prompt
   * @param answerTokens the mean length of the answer
   * @param deadlineMillis until when the first token is of use
   * @param priority from 0 to 9
   */
  record RequestClass(
      String task,
      double share,
      int promptTokens,
      int answerTokens,
      double deadlineMillis,
      int priority) {}

  /** One request. */
  record Request(
      RequestClass requestClass, int promptTokens, int answerTokens, long prefix, int zone) {}

  static Workload blueMahoe() {
    return new Workload(
        "blue-mahoe",
        13,
        7,
        List.of(
            new RequestClass("specification", 0.08, 3000, 500, 8000, 7),
            new RequestClass("question", 0.42, 400, 120, 2500, 8),
            new RequestClass("tag", 0.30, 120, 20, 2500, 3),
            new RequestClass("status", 0.20, 80, 30, 2500, 6)));
  }

  static Workload terminalWayfinding() {
    return new Workload(
        "terminal-wayfinding",
        6,
        6,
        List.of(
            new RequestClass("annotation", 0.15, 1500, 300, 8000, 7),
            new RequestClass("routing", 0.50, 300, 80, 2500, 8),
            new RequestClass("note", 0.35, 150, 25, 2500, 3)));
  }

  /** Returns how many requests a second use the engines up to {@code load}. */
  double ratePerSecond(double load) {
    double mean = 0;
    for (RequestClass one : classes) {
      mean +=
          one.share() * EngineModel.serviceMillis(one.promptTokens(), one.answerTokens(), SLOTS);
    }
    return load * engines * SLOTS / mean * 1000;
  }

  Request draw(RandomGenerator random) {
    double left = random.nextDouble();
    RequestClass drawn = classes.get(classes.size() - 1);
    for (RequestClass one : classes) {
      left -= one.share();
      if (left < 0) {
        drawn = one;
        break;
      }
    }
    double scale = LEAST_SHARE + random.nextDouble();
    long session = (long) (SESSIONS_PER_CLASS * random.nextDouble() * random.nextDouble());
    long prefix = classes.indexOf(drawn) * 1000L + session;
    return new Request(
        drawn,
        (int) (drawn.promptTokens() * scale),
        Math.max(1, (int) (drawn.answerTokens() * scale)),
        prefix,
        random.nextInt(3));
  }
}
