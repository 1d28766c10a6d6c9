// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.oatlug.internal.engine.ReadingLine;
import org.oatlug.internal.gather.Account;
import org.oatlug.internal.gather.Participant;
import org.oatlug.internal.gather.SeenSession;

/**
 * What the gateway tells the other instances and learns from them: open prompts, reading speeds,
 * versions that are brought in and rate limits of upstreams. Owned by one event loop, not
 * thread-safe.
 */
public final class GatheredKnowledge implements Participant {
  /** How often speeds are told: they change with each answer, and a second's age is no harm. */
  private static final Duration SPEEDS_PAUSE = Duration.ofSeconds(1);

  private final GatewayParts parts;
  private final RolloutDirector rollouts;
  private Map<String, ReadingLine> speeds = Map.of();
  private Instant speedsAt = Instant.EPOCH;

  private GatheredKnowledge(GatewayParts parts, RolloutDirector rollouts) {
    this.parts = parts;
    this.rollouts = rollouts;
  }

  /** Returns the knowledge of these parts. */
  public static GatheredKnowledge of(GatewayParts parts, RolloutDirector rollouts) {
    return new GatheredKnowledge(parts, rollouts);
  }

  @Override
  public Account own() {
    Instant now = parts.clock().instant();
    if (!now.isBefore(speedsAt.plus(SPEEDS_PAUSE))) {
      speeds = parts.speeds().measured();
      speedsAt = now;
    }
    return new Account(
        parts.reading().own(), rollouts.evidence(), speeds, parts.limits().observed());
  }

  @Override
  public List<SeenSession> newlySeen() {
    return rollouts.newlySeen();
  }

  @Override
  public List<SeenSession> seenHere() {
    return rollouts.seenHere();
  }

  @Override
  public List<SeenSession> allSeen() {
    return rollouts.allSeen();
  }

  @Override
  public void heard(Account others) {
    parts.reading().heard(others.openMillis(), parts.clock().instant());
    others.speeds().forEach(parts.speeds()::heard);
    others.evidence().forEach(rollouts::heard);
    parts.limits().applyReported(others.limits());
  }

  @Override
  public void heardSessions(List<SeenSession> sessions) {
    sessions.forEach(rollouts::heardSession);
  }
}
