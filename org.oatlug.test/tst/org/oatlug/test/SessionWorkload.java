// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Simulates sessions that send one request after the other, each to a random serving instance, and
 * records the requests that changed the version of their session. Not thread-safe.
 */
final class SessionWorkload {
  private static final int MIN_RESPONSE_MILLIS = 60;
  private static final int RESPONSE_SPREAD_MILLIS = 900;
  private static final int MAX_GAP_MILLIS = 3500;

  /** Mean number of requests of a session; when one ends, a new one begins. */
  private static final int MEAN_REQUESTS_PER_SESSION = 12;

  /** Delay before a caller retries when no instance serves. */
  private static final Duration RETRY = Duration.ofMillis(100);

  private final RolloutFleet fleet;
  private final Random random;
  private final List<String> moves = new ArrayList<>();
  private int sessionCount;
  private int continued;

  private SessionWorkload(RolloutFleet fleet) {
    this.fleet = fleet;
    this.random = fleet.random();
  }

  /** Starts sessions at random times within the longest gap between two requests. */
  static SessionWorkload start(RolloutFleet fleet, int count) {
    SessionWorkload sessions = new SessionWorkload(fleet);
    for (int number = 0; number < count; number++) {
      Duration wait = Duration.ofMillis(sessions.random.nextInt(MAX_GAP_MILLIS));
      fleet.time().after(wait, sessions::beginSession);
    }
    return sessions;
  }

  private void beginSession() {
    sendNext("session-" + sessionCount++, "", Instant.EPOCH);
  }

  private void sendNext(String session, String previousVersion, Instant previousEnd) {
    List<RolloutFleet.Instance> serving = fleet.serving();
    if (serving.isEmpty()) {
      fleet.time().after(RETRY, () -> sendNext(session, previousVersion, previousEnd));
      return;
    }
    RolloutFleet.Instance instance = serving.get(random.nextInt(serving.size()));
    String version = instance.send(session);
    Instant now = fleet.time().instant();
    Duration elapsed = Duration.between(previousEnd, now);
    if (!previousVersion.isEmpty() && elapsed.compareTo(RolloutSample.SESSION_PAUSE) < 0) {
      continued++;
      recordMove(session, previousVersion, version, instance);
    }
    int responseMillis = MIN_RESPONSE_MILLIS + random.nextInt(RESPONSE_SPREAD_MILLIS);
    Instant endOfResponse = now.plusMillis(responseMillis);
    Duration wait = Duration.ofMillis(responseMillis + random.nextInt(MAX_GAP_MILLIS));
    boolean endsSession = random.nextInt(MEAN_REQUESTS_PER_SESSION) == 0;
    fleet
        .time()
        .after(
            wait,
            endsSession ? this::beginSession : () -> sendNext(session, version, endOfResponse));
  }

  private void recordMove(
      String session, String previousVersion, String version, RolloutFleet.Instance instance) {
    boolean movedEarly =
        version.equals(RolloutSample.NEW)
            && previousVersion.equals(RolloutSample.OLD)
            && fleet.elapsedFraction() < 0.5;
    boolean movedBack =
        version.equals(RolloutSample.OLD) && previousVersion.equals(RolloutSample.NEW);
    if (movedEarly || movedBack) {
      moves.add(
          String.format(
              "%s from %s to %s at fraction %.3f of the roll-out by %s",
              session, previousVersion, version, fleet.elapsedFraction(), instance.name()));
    }
  }

  /**
   * Returns the requests that got a different version than the previous one of their session: the
   * new version in the first half of the roll-out, or the old one though the new one is healthy.
   */
  List<String> moves() {
    return moves;
  }

  /** Returns the number of requests that continued a session within the session pause. */
  int continued() {
    return continued;
  }
}
