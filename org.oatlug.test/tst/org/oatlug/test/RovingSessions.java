// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Sessions whose requests follow each other, each at any instance that serves, and what they saw of
 * the versions. Used from one thread.
 */
final class RovingSessions {
  private static final int LEAST_ANSWER_MILLIS = 60;
  private static final int MOST_ANSWER_MILLIS = 900;
  private static final int MOST_GAP_MILLIS = 3500;

  /** One request in so many ends its session; another one begins in its place. */
  private static final int ENDS_IN = 12;

  /** When a caller comes again that nobody served. */
  private static final Duration RETRY = Duration.ofMillis(100);

  private final RolloutFleet fleet;
  private final Random random;
  private final List<String> moves = new ArrayList<>();
  private int numbers;
  private int continued;

  private RovingSessions(RolloutFleet fleet) {
    this.fleet = fleet;
    this.random = fleet.random();
  }

  /** Starts sessions, spread over some seconds. */
  static RovingSessions start(RolloutFleet fleet, int count) {
    RovingSessions sessions = new RovingSessions(fleet);
    for (int number = 0; number < count; number++) {
      Duration wait = Duration.ofMillis(sessions.random.nextInt(MOST_GAP_MILLIS));
      fleet.time().after(wait, sessions::begin);
    }
    return sessions;
  }

  private void begin() {
    next("session-" + numbers++, "", Instant.EPOCH);
  }

  private void next(String session, String before, Instant endedBefore) {
    List<RolloutFleet.Instance> serving = fleet.serving();
    if (serving.isEmpty()) {
      fleet.time().after(RETRY, () -> next(session, before, endedBefore));
      return;
    }
    RolloutFleet.Instance instance = serving.get(random.nextInt(serving.size()));
    String version = instance.send(session);
    Instant now = fleet.time().instant();
    Duration since = Duration.between(endedBefore, now);
    if (!before.isEmpty() && since.compareTo(RolloutSample.SESSION_PAUSE) < 0) {
      continued++;
      note(session, before, version, instance);
    }
    int took = LEAST_ANSWER_MILLIS + random.nextInt(MOST_ANSWER_MILLIS);
    Instant ends = now.plusMillis(took);
    Duration wait = Duration.ofMillis(took + random.nextInt(MOST_GAP_MILLIS));
    boolean last = random.nextInt(ENDS_IN) == 0;
    fleet.time().after(wait, last ? this::begin : () -> next(session, version, ends));
  }

  private void note(String session, String before, String version, RolloutFleet.Instance instance) {
    boolean early =
        version.equals(RolloutSample.NEW) && before.equals(RolloutSample.OLD) && fleet.part() < 0.5;
    boolean back = version.equals(RolloutSample.OLD) && before.equals(RolloutSample.NEW);
    if (early || back) {
      moves.add(
          String.format(
              "%s from %s to %s at part %.3f by %s",
              session, before, version, fleet.part(), instance.name()));
    }
  }

  /**
   * Returns the requests that went to another version than the one before in their session: to the
   * new one in the first half of the duration, or back to the old one though the new one is good.
   */
  List<String> moves() {
    return moves;
  }

  /** Returns how many requests went on with a session. */
  int continued() {
    return continued;
  }
}
