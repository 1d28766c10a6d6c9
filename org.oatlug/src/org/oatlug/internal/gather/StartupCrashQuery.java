// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Set;
import org.oatlug.internal.crash.CrashLedger;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;

/**
 * Reads the crash records of other instances at the start, before there is a collector to report
 * to.
 *
 * <p>Invariants: an instance is asked again only if it did not respond, and at most {@link
 * #MAXIMUM_QUERIES} queries are sent; none once an instance that has all records has responded. A
 * query that timed out late, because the event loop of this instance lagged, does not show that the
 * other one does not respond. Owned by one event loop, not thread-safe.
 */
final class StartupCrashQuery {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Enough to find one that has not just started, too, without a burst at a start of all. */
  private static final int MAXIMUM_QUERIES = 12;

  /** The maximum instances to ask at the same time. */
  private static final int MAXIMUM_PEERS = 4;

  private static final Duration TIMEOUT = Duration.ofMillis(400);

  /** The delay of a timeout from which it is attributed to the event loop of this instance. */
  private static final Duration LATE_TIMEOUT = TIMEOUT.plus(TIMEOUT.dividedBy(4));

  private final Membership membership;
  private final PeerNetwork network;
  private final InstantSource clock;
  private final CrashLedger ledger;
  private final Set<String> asked = new HashSet<>();

  /** The addresses whose last query timed out late. */
  private final Set<String> timedOutLate = new HashSet<>();

  private int queries;
  private int outstanding;
  private boolean informed;

  private StartupCrashQuery(
      Membership membership, PeerNetwork network, InstantSource clock, CrashLedger ledger) {
    this.membership = membership;
    this.network = network;
    this.clock = clock;
    this.ledger = ledger;
  }

  /** Returns a query that has sent no messages yet. */
  static StartupCrashQuery create(
      Membership membership, PeerNetwork network, InstantSource clock, CrashLedger ledger) {
    return new StartupCrashQuery(membership, network, clock, ledger);
  }

  /** Returns whether an instance that has all records has responded. */
  boolean isAnswered() {
    return informed;
  }

  /** Returns whether an instance that was asked may still respond. */
  boolean isOutstanding() {
    return outstanding > 0 || !timedOutLate.isEmpty();
  }

  /** Asks instances that were not asked before, or did not respond. */
  void askPeers() {
    for (Member peer : membership.addressablePeers()) {
      String address = peer.host() + ":" + peer.peerPort();
      boolean mayAsk = !informed && queries < MAXIMUM_QUERIES && asked.size() < MAXIMUM_PEERS;
      if (mayAsk && asked.add(address)) {
        ask(peer, address);
      }
    }
  }

  private void ask(Member peer, String address) {
    final Instant sentAt = clock.instant();
    timedOutLate.remove(address);
    queries++;
    outstanding++;
    network
        .sendRequest(peer, new PeerMessage.CrashQuery(), TIMEOUT)
        .subscribe()
        .with(
            response -> answered(peer, response),
            failure -> {
              outstanding--;
              asked.remove(address);
              if (clock.instant().isAfter(sentAt.plus(LATE_TIMEOUT))) {
                timedOutLate.add(address);
              }
              logger.atFine().log(
                  "no crash records from %s: %s", peer.name(), failure.getMessage());
            });
  }

  private void answered(Member peer, PeerMessage response) {
    outstanding--;
    if (response instanceof PeerMessage.CrashAnswer answer && answer.changes() != null) {
      ledger.merge(answer.changes().records(), peer.name());
      informed |= answer.informed();
    }
  }
}
