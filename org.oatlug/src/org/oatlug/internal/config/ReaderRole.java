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
 * Determines whether this instance reads the platform for its availability zone.
 *
 * <p>The first instances by rank do. A reader whose calls to the platform fail asks other instances
 * of the zone, one after the other, to substitute for it. Without substitutes, a zone that is
 * partitioned from the others would receive no changes while the store refuses both its readers,
 * although its other instances can reach the store. An instance that has just started reads all
 * objects once for itself and discovers its peers before it may be a reader. Invariant: a
 * substitute reached the platform when it took over, and stops by itself unless it is asked again.
 * Owned by one event loop, not thread-safe.
 */
final class ReaderRole {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time for which a substitute reads after a request: a few times the interval of requests. */
  private static final Duration SUBSTITUTION_TIME = Duration.ofSeconds(3);

  /** Interval at which a reader whose calls to the platform fail requests a substitute. */
  private static final Duration REQUEST_INTERVAL = Duration.ofSeconds(1);

  /**
   * Maximum number of instances asked in succession per interval. If the platform refuses half of
   * the instances, one in eight rounds finds no substitute; asking one instance a second left a
   * zone without a reader for 3 s. In an outage for all instances, each request costs one call to
   * the platform.
   */
  private static final int MAXIMUM_REQUESTS_PER_INTERVAL = 3;

  /**
   * Time for which a starting instance discovers its zone peers before it may be a reader. Without
   * this delay, instances that start at once would all watch the store like readers. Less than the
   * time for which leaving upstreams still serve, as no changes are read during the delay.
   */
  private static final Duration DISCOVERY_TIME = Duration.ofMillis(1200);

  /** Longer than the timeout of a call to the platform, which is one second. */
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1200);

  private final Membership membership;
  private final PeerNetwork network;
  private final InstantSource clock;
  private final Meters meters;
  private final Supplier<Uni<Void>> platformProbe;
  private Optional<Instant> startedAt = Optional.empty();
  private Instant substituteUntil = Instant.EPOCH;
  private Instant nextRequest = Instant.EPOCH;
  private int refusals;
  private boolean starting = true;
  private boolean reader;

  private ReaderRole(
      Membership membership,
      PeerNetwork network,
      InstantSource clock,
      Meters meters,
      Supplier<Uni<Void>> platformProbe) {
    this.membership = membership;
    this.network = network;
    this.clock = clock;
    this.meters = meters;
    this.platformProbe = platformProbe;
  }

  /**
   * Returns the role of an instance, which does not read yet.
   *
   * @param platformProbe verifies that the platform can be read; fails if it cannot be reached
   */
  static ReaderRole create(
      Membership membership,
      PeerNetwork network,
      InstantSource clock,
      Meters meters,
      Supplier<Uni<Void>> platformProbe) {
    return new ReaderRole(membership, network, clock, meters, platformProbe);
  }

  /** Updates the role; called once a tick. */
  void tick() {
    starting = starting && isDiscoveringPeers();
    boolean isReader = !starting && membership.isReader() || isSubstitute();
    if (isReader != reader) {
      reader = isReader;
      String role =
          reader ? "reads the store for its zone" : "no longer reads the store for its zone";
      logger.atInfo().log("this instance %s", role);
    }
  }

  private boolean isDiscoveringPeers() {
    Instant now = clock.instant();
    if (startedAt.isEmpty()) {
      startedAt = Optional.of(now);
    }
    return membership.hasKnownPeers() && now.isBefore(startedAt.get().plus(DISCOVERY_TIME));
  }

  /** Returns whether this instance reads the platform for its zone. */
  boolean isReader() {
    return reader;
  }

  /** Returns whether the zone depends on what this instance reads. */
  boolean isFirstReader() {
    return membership.isFirstReader() || isSubstitute();
  }

  /** Returns whether this instance is starting and reads all objects once for itself. */
  boolean isStarting() {
    return starting;
  }

  private boolean isSubstitute() {
    return clock.instant().isBefore(substituteUntil);
  }

  /** Requests a substitute, as calls of this instance to the platform fail repeatedly. */
  void requestSubstitute() {
    Instant now = clock.instant();
    List<Member> candidates = membership.substituteReaders();
    if (!membership.isReader() || candidates.isEmpty() || now.isBefore(nextRequest)) {
      return;
    }
    nextRequest = now.plus(REQUEST_INTERVAL);
    requestFrom(candidates, Math.min(MAXIMUM_REQUESTS_PER_INTERVAL, candidates.size()));
  }

  private void requestFrom(List<Member> candidates, int remainingRequests) {
    Member candidate = candidates.get(refusals % candidates.size());
    network
        .sendRequest(candidate, new PeerMessage.ReadInstead(), REQUEST_TIMEOUT)
        .subscribe()
        .with(
            answer ->
                logger.atInfo().log(
                    "instance %s reads the store as a substitute", candidate.name()),
            failure -> handleRefusal(candidates, candidate, remainingRequests - 1));
  }

  /** Records that another instance cannot read either, and asks the next one. */
  private void handleRefusal(List<Member> candidates, Member candidate, int remainingRequests) {
    refusals++;
    meters.count("retry.read-instead");
    logger.atInfo().log("instance %s cannot read the store as a substitute", candidate.name());
    if (remainingRequests > 0) {
      requestFrom(candidates, remainingRequests);
    }
  }

  /** Handles the request of a reader; substitutes for it if the platform can be read. */
  Uni<PeerMessage> handleReadInstead() {
    return platformProbe
        .get()
        .invoke(unused -> substituteUntil = clock.instant().plus(SUBSTITUTION_TIME))
        .map(unused -> (PeerMessage) new PeerMessage.Done())
        .onFailure()
        .recoverWithItem(failure -> new PeerMessage.Failed(failure.getMessage()));
  }
}
