// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.peer.Member;

/**
 * Brings an instance that starts up to date with the instances that run already.
 *
 * <p>The store may just have been restored from a copy and lack what they know; an instance that
 * served by the store alone would go back behind them. A few others are asked whether they are in
 * sync. Once this instance has read the store, it compares digests with one that is, and fetches
 * what it lacks. If none is, the store is all there is. Invariant: an instance that is in sync
 * stays so. Owned by one event loop, not thread-safe.
 */
final class StartupSync {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How many others are asked; unless most instances start at once, most are in sync. */
  private static final int MOST_ASKED = 5;

  private final Membership membership;
  private final RandomGenerator random;
  private final Peers peers;
  private final Deque<Member> sources = new ArrayDeque<>();
  private boolean begun;
  private int unanswered;
  private boolean fetching;
  private boolean inSync;

  private StartupSync(Membership membership, RandomGenerator random, Peers peers) {
    this.membership = membership;
    this.random = random;
    this.peers = peers;
  }

  /** What is needed of the exchange with other instances. */
  interface Peers {
    /** Returns whether this instance has read the store, or has heard from one that has. */
    boolean hasReadAll();

    /** Asks another instance whether it is in sync. */
    Uni<Boolean> isInSync(Member peer);

    /** Fetches what another instance knows and this one lacks. */
    Uni<Void> fetch(Member peer);
  }

  /** Returns a synchronization that has not begun. */
  static StartupSync create(Membership membership, RandomGenerator random, Peers peers) {
    return new StartupSync(membership, random, peers);
  }

  /** Returns whether this instance knows what others know, or has found nobody to ask. */
  boolean isInSync() {
    return inSync;
  }

  /** Takes the next step; called once a tick. */
  void tick() {
    if (inSync) {
      return;
    }
    if (!begun) {
      begun = true;
      askOthers();
    }
    goOn();
  }

  private void askOthers() {
    List<Member> others = membership.addressedPeers();
    List<Member> asked = new ArrayList<>();
    while (!others.isEmpty() && asked.size() < MOST_ASKED) {
      asked.add(others.remove(random.nextInt(others.size())));
    }
    unanswered = asked.size();
    asked.forEach(
        peer ->
            peers
                .isInSync(peer)
                .subscribe()
                .with(peerInSync -> answered(peer, peerInSync), failure -> answered(peer, false)));
  }

  private void answered(Member peer, boolean peerInSync) {
    unanswered--;
    if (peerInSync) {
      sources.add(peer);
    }
    goOn();
  }

  private void goOn() {
    if (inSync || fetching) {
      return;
    }
    if (sources.isEmpty()) {
      if (unanswered == 0) {
        finish("no running instance was found");
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
              goOn();
            });
  }

  private void finish(String how) {
    inSync = true;
    logger.atInfo().log("this instance is in sync, %s", how);
  }
}
