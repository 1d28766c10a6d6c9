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
 * Exchanges the gateway's state with other instances: prompts waiting for prefill, prefill speeds,
 * evidence about versions under roll-out and rate limits of upstreams. Owned by one event loop, not
 * thread-safe.
 */
public final class GatheredKnowledge implements Participant {
  /** The interval at which speeds are sent; they change with each answer but may be 1 s old. */
  private static final Duration SPEEDS_INTERVAL = Duration.ofSeconds(1);

  private final GatewayComponents components;
  private final RolloutDirector rollouts;
  private Map<String, ReadingLine> speeds = Map.of();
  private Instant speedsAt = Instant.EPOCH;

  private GatheredKnowledge(GatewayComponents components, RolloutDirector rollouts) {
    this.components = components;
    this.rollouts = rollouts;
  }

  /** Returns the participant that exchanges the state of these components. */
  public static GatheredKnowledge of(GatewayComponents components, RolloutDirector rollouts) {
    return new GatheredKnowledge(components, rollouts);
  }

  @Override
  public Account own() {
    Instant now = components.clock().instant();
    if (!now.isBefore(speedsAt.plus(SPEEDS_INTERVAL))) {
      speeds = components.speeds().measured();
      speedsAt = now;
    }
    return new Account(
        components.reading().own(), rollouts.evidence(), speeds, components.limits().observed());
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
  public void heard(Account remote) {
    components.reading().heard(remote.openMillis(), components.clock().instant());
    remote.speeds().forEach(components.speeds()::heard);
    remote.evidence().forEach(rollouts::heard);
    components.limits().applyReported(remote.limits());
  }

  @Override
  public void heardSessions(List<SeenSession> sessions) {
    sessions.forEach(rollouts::heardSession);
  }
}
