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
 * Whether an instance that starts has what those know that started before it.
 *
 * <p>The store may just have been restored from a copy, and lack what they know; an instance that
 * served by the store alone would go back behind them. A few of the others are asked whether they
 * are established; one of them that is gives what it knows, as soon as this instance has read the
 * store, so that little is left to give. If none is, the store is all there is. Invariant: an
 * established instance stays so. Owned by one event loop, not thread-safe.
 */
final class FirstMeeting {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How many others are asked; unless most instances start at once, most are established. */
  private static final int MOST_ASKED = 5;

  private final Membership membership;
  private final RandomGenerator random;
  private final Peers peers;
  private final Deque<Member> informed = new ArrayDeque<>();
  private boolean begun;
  private int unanswered;
  private boolean comparing;
  private boolean established;

  private FirstMeeting(Membership membership, RandomGenerator random, Peers peers) {
    this.membership = membership;
    this.random = random;
    this.peers = peers;
  }

  /** What the meeting needs of the exchange with other instances. */
  interface Peers {
    /** Returns whether this instance has read the store, or has heard from one that has. */
    boolean hasReadAll();

    /** Asks another instance whether it is established. */
    Uni<Boolean> isEstablished(Member peer);

    /** Takes over what another instance knows. */
    Uni<Void> takeOver(Member peer);
  }

  /** Returns a meeting that has not begun. */
  static FirstMeeting create(Membership membership, RandomGenerator random, Peers peers) {
    return new FirstMeeting(membership, random, peers);
  }

  /** Returns whether this instance knows what others know, or has found nobody to ask. */
  boolean isEstablished() {
    return established;
  }

  /** Takes the next step; called once a tick. */
  void tick() {
    if (established) {
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
                .isEstablished(peer)
                .subscribe()
                .with(known -> answered(peer, known), failure -> answered(peer, false)));
  }

  private void answered(Member peer, boolean known) {
    unanswered--;
    if (known) {
      informed.add(peer);
    }
    goOn();
  }

  private void goOn() {
    if (established || comparing) {
      return;
    }
    if (informed.isEmpty()) {
      if (unanswered == 0) {
        establish("nobody is there who started before");
      }
    } else if (peers.hasReadAll()) {
      takeOver(informed.remove());
    }
  }

  private void takeOver(Member peer) {
    comparing = true;
    peers
        .takeOver(peer)
        .subscribe()
        .with(
            unused -> establish("compared with " + peer.name()),
            failure -> {
              comparing = false;
              goOn();
            });
  }

  private void establish(String how) {
    established = true;
    logger.atInfo().log("this instance is established, %s", how);
  }
}
