// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.function.Predicate;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;
import org.oatlug.internal.util.TickSystem;

/**
 * Tells the peers which prompts of this instance wait at upstreams and how fast engines read, and
 * takes in what they tell.
 *
 * <p>Invariants: nothing is sent while nothing changed and what was told still counts; each peer is
 * told at most once in a pause that grows with the number of peers, so that an instance sends a
 * bounded number of messages. Owned by one event loop, not thread-safe.
 */
public final class OpenReadingSystem implements TickSystem {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The least pause between two messages to a peer: a fraction of the time a prompt waits. */
  private static final Duration LEAST_PAUSE = Duration.ofMillis(100);

  /**
   * The same between availability zones, where bytes have a price: 0.003 to 0.007 of the worth of a
   * day with this pause, three days, one run each.
   */
  private static final Duration LEAST_PAUSE_BETWEEN_ZONES = Duration.ofMillis(300);

  /**
   * How much longer the pause is for each instance, so that 20 messages are sent a second at most.
   * Where the pause would outlast what is told, nothing is: each instance then goes by its own.
   */
  private static final Duration PAUSE_PER_PEER = Duration.ofMillis(50);

  /** How long a peer may take to answer; a lost message is made good by the next. */
  private static final Duration PATIENCE = Duration.ofMillis(500);

  /** How often the speeds are told: soon enough for an instance that has just started. */
  private static final Duration SPEEDS_PAUSE = Duration.ofSeconds(1);

  private final OpenReading reading;
  private final EngineSpeeds speeds;
  private final Membership membership;
  private final PeerNetwork network;
  private final InstantSource clock;
  private final Meters meters;
  private final Audience ownZone;
  private final Audience otherZones;

  private OpenReadingSystem(
      OpenReading reading,
      EngineSpeeds speeds,
      Membership membership,
      PeerNetwork network,
      InstantSource clock,
      Meters meters) {
    this.reading = reading;
    this.speeds = speeds;
    this.membership = membership;
    this.network = network;
    this.clock = clock;
    this.meters = meters;
    this.ownZone = new Audience(this::isInOwnZone, LEAST_PAUSE);
    this.otherZones = new Audience(peer -> !isInOwnZone(peer), LEAST_PAUSE_BETWEEN_ZONES);
  }

  /** Returns a system that tells the peers of the membership what is open. */
  public static OpenReadingSystem create(
      OpenReading reading,
      EngineSpeeds speeds,
      Membership membership,
      PeerNetwork network,
      InstantSource clock,
      Meters meters) {
    return new OpenReadingSystem(reading, speeds, membership, network, clock, meters);
  }

  /** Takes in what a peer told. */
  public void handle(Member from, PeerMessage.OpenPrompts message) {
    reading.heard(from.process(), message.millisByUpstream(), clock.instant());
    message.lines().forEach(speeds::heard);
  }

  @Override
  public void tick() {
    Instant now = clock.instant();
    ownZone.tellIfDue(now);
    otherZones.tellIfDue(now);
  }

  /** The peers of which all are told at the same moments. */
  private final class Audience {
    private final Predicate<Member> members;
    private final Duration leastPause;
    private Map<String, Integer> told = Map.of();
    private Instant toldAt = Instant.EPOCH;
    private Instant speedsToldAt = Instant.EPOCH;

    Audience(Predicate<Member> members, Duration leastPause) {
      this.members = members;
      this.leastPause = leastPause;
    }

    void tellIfDue(Instant now) {
      Duration since = Duration.between(toldAt, now);
      if (since.compareTo(leastPause) < 0) {
        return;
      }
      Duration pause = PAUSE_PER_PEER.multipliedBy(membership.live().size());
      if (since.compareTo(pause) < 0 || pause.compareTo(OpenReading.VALID) > 0) {
        return;
      }
      Map<String, Integer> open = reading.own();
      boolean fades = !open.isEmpty() && since.multipliedBy(2).compareTo(OpenReading.VALID) > 0;
      if (fades || !open.equals(told)) {
        tell(open, now);
        told = open;
        toldAt = now;
      }
    }

    private void tell(Map<String, Integer> open, Instant now) {
      Map<String, ReadingLine> lines = Map.of();
      if (Duration.between(speedsToldAt, now).compareTo(SPEEDS_PAUSE) >= 0) {
        lines = speeds.measured();
        speedsToldAt = now;
      }
      PeerMessage message = new PeerMessage.OpenPrompts(open, lines);
      for (Member peer : membership.live()) {
        if (!membership.isSelf(peer) && members.test(peer)) {
          network
              .ask(peer, message, PATIENCE)
              .subscribe()
              .with(answer -> {}, failure -> lost(peer, failure));
        }
      }
    }
  }

  private boolean isInOwnZone(Member peer) {
    return peer.zone().equals(membership.self().zone());
  }

  private void lost(Member peer, Throwable failure) {
    meters.count("peer.open-prompts-lost");
    logger.atFine().log("open prompts not told to %s: %s", peer.name(), failure.getMessage());
  }
}
