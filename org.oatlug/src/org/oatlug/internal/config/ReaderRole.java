// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;

/**
 * Whether this instance reads the platform for its availability zone.
 *
 * <p>The first instances by rank do. One of them that the platform fails asks another instance of
 * the zone, and then the next ones, to read in its place: without that a zone that was cut off from
 * the others learned nothing while both its readers were turned away, though the other instances
 * reached the store. An instance that has just started reads everything once for itself and meets
 * the others before it may be a reader. Invariant: who reads in another's place reached the
 * platform when it took that over, and ends it by itself unless it is asked again. Owned by one
 * event loop, not thread-safe.
 */
final class ReaderRole {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long a stand-in reads after it was asked: a few times the interval of asking. */
  private static final Duration STAND_IN = Duration.ofSeconds(3);

  /** How often a reader that the platform fails asks. */
  private static final Duration ASK_INTERVAL = Duration.ofSeconds(1);

  /**
   * How many are asked one after the other in an interval. With half of the instances turned away
   * one in eight rounds finds nobody; one a second left a zone without a reader for 3 s. While the
   * platform is away for all, each costs one call of it.
   */
  private static final int ASKED_IN_A_ROW = 3;

  /**
   * How long an instance that starts meets the others of its zone before it may be a reader. When
   * all start at once, each would watch the store like a reader meanwhile. Less than the time for
   * which leaving upstreams serve on, as nothing new is read meanwhile.
   */
  private static final Duration MEETING = Duration.ofMillis(1200);

  /** Longer than a call to the platform takes until it is given up, which is one second. */
  private static final Duration ASK_PATIENCE = Duration.ofMillis(1200);

  private final Membership membership;
  private final PeerNetwork network;
  private final InstantSource clock;
  private final Meters meters;
  private final Supplier<Uni<Void>> platformCheck;
  private Optional<Instant> startedAt = Optional.empty();
  private Instant standsInUntil = Instant.EPOCH;
  private Instant nextAsk = Instant.EPOCH;
  private int refusals;
  private boolean starting = true;
  private boolean reader;

  private ReaderRole(
      Membership membership,
      PeerNetwork network,
      InstantSource clock,
      Meters meters,
      Supplier<Uni<Void>> platformCheck) {
    this.membership = membership;
    this.network = network;
    this.clock = clock;
    this.meters = meters;
    this.platformCheck = platformCheck;
  }

  /**
   * Returns the role of an instance, which does not read yet.
   *
   * @param platformCheck reads something from the platform; fails if it cannot be reached
   */
  static ReaderRole create(
      Membership membership,
      PeerNetwork network,
      InstantSource clock,
      Meters meters,
      Supplier<Uni<Void>> platformCheck) {
    return new ReaderRole(membership, network, clock, meters, platformCheck);
  }

  /** Works out the role anew; called once a tick. */
  void tick() {
    starting = starting && isMeeting();
    boolean isReader = !starting && membership.isReader() || standsIn();
    if (isReader != reader) {
      reader = isReader;
      String role = reader ? "reads the store for its zone" : "leaves the store to other readers";
      logger.atInfo().log("this instance %s", role);
    }
  }

  private boolean isMeeting() {
    Instant now = clock.instant();
    if (startedAt.isEmpty()) {
      startedAt = Optional.of(now);
    }
    return membership.knowsOfOthers() && now.isBefore(startedAt.get().plus(MEETING));
  }

  /** Returns whether this instance reads. */
  boolean isReader() {
    return reader;
  }

  /** Returns whether the zone depends on what this instance reads. */
  boolean isFirstReader() {
    return membership.isFirstReader() || standsIn();
  }

  /** Returns whether this instance has just started and reads everything once for itself. */
  boolean isStarting() {
    return starting;
  }

  private boolean standsIn() {
    return clock.instant().isBefore(standsInUntil);
  }

  /** Asks another instance to read, as the platform fails this one again and again. */
  void platformFails() {
    Instant now = clock.instant();
    List<Member> others = membership.standInsForReader();
    if (!membership.isReader() || others.isEmpty() || now.isBefore(nextAsk)) {
      return;
    }
    nextAsk = now.plus(ASK_INTERVAL);
    ask(others, Math.min(ASKED_IN_A_ROW, others.size()));
  }

  private void ask(List<Member> others, int left) {
    Member other = others.get(refusals % others.size());
    network
        .ask(other, new PeerMessage.ReadInstead(), ASK_PATIENCE)
        .subscribe()
        .with(
            answer -> logger.atInfo().log("instance %s reads the store instead", other.name()),
            failure -> refused(others, other, left - 1));
  }

  /** Notes that another instance cannot read either, and asks the next one. */
  private void refused(List<Member> others, Member other, int left) {
    refusals++;
    meters.count("retry.read-instead");
    logger.atInfo().log("instance %s cannot read the store instead", other.name());
    if (left > 0) {
      ask(others, left);
    }
  }

  /** Answers a reader that the platform fails: reads in its place if the platform can be read. */
  Uni<PeerMessage> readInstead() {
    return platformCheck
        .get()
        .invoke(unused -> standsInUntil = clock.instant().plus(STAND_IN))
        .map(unused -> (PeerMessage) new PeerMessage.Done())
        .onFailure()
        .recoverWithItem(failure -> new PeerMessage.Failed(failure.getMessage()));
  }
}
