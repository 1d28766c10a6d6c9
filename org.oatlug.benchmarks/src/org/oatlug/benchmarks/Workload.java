// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Describes the requests of a deployment: request classes with their shares and lengths, grouped in
 * sessions whose prompts share a prefix. Immutable, thread-safe.
 *
 * @param name the name of the deployment
 * @param engines the number of engines
 * @param instances the number of entry instances
 * @param classes the classes of requests
 */
record Workload(String name, int engines, int instances, List<RequestClass> classes) {
  static final int SLOTS = 8;

  private static final int SESSIONS_PER_CLASS = 120;
  private static final double MINIMUM_LENGTH_FACTOR = 0.5;

  /**
   * A class of requests.
   *
   * @param task the task name
   * @param share the fraction of all requests, 0 to 1
   * @param promptTokens the mean length of the prompt, in tokens
   * @param answerTokens the mean length of the answer, in tokens
   * @param deadlineMillis the deadline for the first token, in milliseconds after arrival
   * @param priority the priority, from 0 to 9
   */
  record RequestClass(
      String task,
      double share,
      int promptTokens,
      int answerTokens,
      double deadlineMillis,
      int priority) {}

  /** A request with its lengths in tokens, prefix identifier and zone index. */
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

  /**
   * Returns the requests per second that use the fraction {@code load} of the engines' capacity.
   */
  double ratePerSecond(double load) {
    double meanServiceMillis = 0;
    for (RequestClass requestClass : classes) {
      meanServiceMillis +=
          requestClass.share()
              * EngineModel.serviceMillis(
                  requestClass.promptTokens(), requestClass.answerTokens(), SLOTS);
    }
    return load * engines * SLOTS / meanServiceMillis * 1000;
  }

  Request draw(RandomGenerator random) {
    double remainingShare = random.nextDouble();
    RequestClass drawnClass = classes.get(classes.size() - 1);
    for (RequestClass requestClass : classes) {
      remainingShare -= requestClass.share();
      if (remainingShare < 0) {
        drawnClass = requestClass;
        break;
      }
    }
    double lengthFactor = MINIMUM_LENGTH_FACTOR + random.nextDouble();
    long session = (long) (SESSIONS_PER_CLASS * random.nextDouble() * random.nextDouble());
    long prefix = classes.indexOf(drawnClass) * 1000L + session;
    return new Request(
        drawnClass,
        (int) (drawnClass.promptTokens() * lengthFactor),
        Math.max(1, (int) (drawnClass.answerTokens() * lengthFactor)),
        prefix,
        random.nextInt(3));
  }
}
