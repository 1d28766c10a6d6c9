// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.peer.Member;

/**
 * Synchronizes a starting instance with the instances that are already running.
 *
 * <p>The store may just have been restored from a copy that lacks objects which they know; an
 * instance that relied on the store alone would serve an older state than theirs. So a few peers
 * are asked whether they are in sync. If none of these answers in time, all are asked: many may
 * have been lost or be slow, and their silence does not show that no instance runs; where none
 * listens, connections are refused at once. If the event loop of this instance lagged meanwhile,
 * which is frequent at a start on a busy host, the timeouts show nothing either, and all are asked
 * again. Once this instance has read the store, it compares digests with a peer that is in sync,
 * and fetches the objects that it lacks. If no peer is in sync, the store is the only source.
 * Invariant: an instance that is in sync remains so. Owned by one event loop, not thread-safe.
 */
final class StartupSync {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Number of peers asked; most are in sync unless most instances start at once. */
  private static final int MAXIMUM_PEERS_ASKED = 5;

  /** The time within which a connection is refused where no process listens. */
  private static final Duration REFUSAL_TIME = Duration.ofMillis(500);

  /** The delay of a timeout from which it is attributed to the event loop of this instance. */
  private static final Duration LATE_TIMEOUT =
      ConfigurationSystem.SYNC_TIMEOUT.plus(ConfigurationSystem.SYNC_TIMEOUT.dividedBy(4));

  /** Bounds the delay of a start whose event loop never catches up. */
  private static final int MAXIMUM_REPETITIONS = 3;

  private final Membership membership;
  private final RandomGenerator random;
  private final InstantSource clock;
  private final Peers peers;
  private final Deque<Member> sources = new ArrayDeque<>();
  private Optional<Instant> askedAt = Optional.empty();
  private boolean askedAll;
  private int repetitions;
  private boolean anyAnswered;
  private int pendingAnswers;
  private boolean fetching;
  private boolean inSync;

  private StartupSync(
      Membership membership, RandomGenerator random, InstantSource clock, Peers peers) {
    this.membership = membership;
    this.random = random;
    this.clock = clock;
    this.peers = peers;
  }

  /** Exchange with other instances. */
  interface Peers {
    /** Returns whether this instance has read the store, or synchronized with one that has. */
    boolean hasReadAll();

    /** Asks another instance whether it is in sync. */
    Uni<Boolean> isInSync(Member peer);

    /** Fetches the objects that another instance has and this one lacks. */
    Uni<Void> fetch(Member peer);
  }

  /** Returns a synchronization that has not started. */
  static StartupSync create(
      Membership membership, RandomGenerator random, InstantSource clock, Peers peers) {
    return new StartupSync(membership, random, clock, peers);
  }

  /** Returns whether this instance is synchronized with a peer, or found no peer in sync. */
  boolean isInSync() {
    return inSync;
  }

  /** Performs the next step; called once a tick. */
  void tick() {
    if (inSync) {
      return;
    }
    if (askedAt.isEmpty()) {
      askPeers();
    }
    proceed();
  }

  private void askPeers() {
    List<Member> candidates = membership.addressablePeers();
    List<Member> asked = new ArrayList<>();
    while (!candidates.isEmpty() && asked.size() < MAXIMUM_PEERS_ASKED) {
      asked.add(candidates.remove(random.nextInt(candidates.size())));
    }
    ask(asked);
  }

  private void ask(List<Member> asked) {
    askedAt = Optional.of(clock.instant());
    pendingAnswers = asked.size();
    asked.forEach(
        peer ->
            peers
                .isInSync(peer)
                .subscribe()
                .with(peerInSync -> handleAnswer(peer, peerInSync), failure -> handleNoAnswer()));
  }

  private void handleAnswer(Member peer, boolean peerInSync) {
    pendingAnswers--;
    anyAnswered = true;
    if (peerInSync) {
      sources.add(peer);
    }
    proceed();
  }

  private void handleNoAnswer() {
    pendingAnswers--;
    if (pendingAnswers == 0 && !anyAnswered && mayAskAgain()) {
      logger.atInfo().log("no instance answered whether it is in sync, asking all");
      ask(membership.addressablePeers());
    }
    proceed();
  }

  private boolean mayAskAgain() {
    if (!askedAll && hasAskedFor(REFUSAL_TIME)) {
      askedAll = true;
      return true;
    }
    return hasAskedFor(LATE_TIMEOUT) && ++repetitions <= MAXIMUM_REPETITIONS;
  }

  private boolean hasAskedFor(Duration duration) {
    return clock.instant().isAfter(askedAt.orElseThrow().plus(duration));
  }

  private void proceed() {
    if (inSync || fetching) {
      return;
    }
    if (sources.isEmpty()) {
      if (pendingAnswers == 0) {
        finish("no running instance in sync was found");
      }
    } else if (peers.hasReadAll()) {
      fetch(sources.remove());
    }
  }

  private void fetch(Member peer) {
    fetching = true;
    peers
        .fetch(peer)
        .subscribe()
        .with(
            unused -> finish("compared with " + peer.name()),
            failure -> {
              fetching = false;
              proceed();
            });
  }

  private void finish(String reason) {
    inSync = true;
    logger.atInfo().log("this instance is in sync, %s", reason);
  }
}
