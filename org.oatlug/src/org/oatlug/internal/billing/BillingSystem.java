// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.billing;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.oatlug.internal.ledger.LedgerEntry;
import org.oatlug.internal.ledger.LedgerResult;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;
import org.oatlug.internal.util.Hashes;
import org.oatlug.internal.util.TickSystem;

/**
 * Stores bills until the ledger has confirmed them.
 *
 * <p>A bill is replicated to up to two witnesses from before the dispatch until the ledger has
 * confirmed it. The process that handles the request submits the settled bill; if that process is
 * lost, a witness submits its copy. The ledger records only the first bill of an id, so both may
 * submit. While the platform is unavailable, bills are queued here up to a maximum. Owned by one
 * event loop, not thread-safe.
 */
public final class BillingSystem implements TickSystem {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAXIMUM_BILLS = 20_000;
  private static final int MAXIMUM_CONCURRENT_SUBMISSIONS = 256;
  private static final int WITNESSES = 2;
  private static final Duration WITNESS_TIMEOUT = Duration.ofMillis(300);
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);
  private static final Duration DROPPED_RETENTION = Duration.ofMinutes(2);

  private final Membership membership;
  private final PeerNetwork network;
  private final Function<LedgerEntry, Uni<LedgerResult>> ledger;
  private final InstantSource clock;
  private final Meters meters;
  private final Map<String, Bill> ownBills = new TreeMap<>();
  private final Map<String, List<Member>> witnesses = new HashMap<>();
  private final Map<String, Bill> heldBills = new TreeMap<>();
  private final Map<String, Instant> droppedAt = new HashMap<>();
  private final Set<String> submitting = new HashSet<>();
  private Instant nextRetry = Instant.EPOCH;

  private BillingSystem(
      Membership membership,
      PeerNetwork network,
      Function<LedgerEntry, Uni<LedgerResult>> ledger,
      InstantSource clock,
      Meters meters) {
    this.membership = membership;
    this.network = network;
    this.ledger = ledger;
    this.clock = clock;
    this.meters = meters;
  }

  /**
   * Returns a system without bills.
   *
   * @param ledger submits an entry and completes when it is confirmed
   */
  public static BillingSystem create(
      Membership membership,
      PeerNetwork network,
      Function<LedgerEntry, Uni<LedgerResult>> ledger,
      InstantSource clock,
      Meters meters) {
    return new BillingSystem(membership, network, ledger, clock, meters);
  }

  /**
   * Returns whether the maximum number of bills is reached, so that no more may be opened until the
   * ledger has confirmed some.
   */
  public boolean isFull() {
    return ownBills.size() + heldBills.size() >= MAXIMUM_BILLS;
  }

  /** Returns the number of settled bills of this instance that are not confirmed. */
  public int unconfirmedCount() {
    return ownBills.size();
  }

  /** Returns the number of bills held as a witness for other instances. */
  public int heldCount() {
    return heldBills.size();
  }

  /** Opens a bill; completes when a witness has acknowledged it, or none is reachable. */
  public Uni<Void> open(Bill provisionalBill) {
    List<Member> selected = chooseWitnesses(provisionalBill.id());
    witnesses.put(provisionalBill.id(), selected);
    if (selected.isEmpty()) {
      meters.count("bill.without-witness");
    }
    return sendToWitnesses(provisionalBill);
  }

  /** Sends the current state of a bill to the witnesses without waiting for acknowledgement. */
  public void sendProgress(Bill currentBill) {
    sendToWitnesses(currentBill).subscribe().with(unused -> {}, failure -> {});
  }

  /** Settles a bill; completes when a witness has acknowledged it, or none is reachable. */
  public Uni<Void> settle(Bill settled) {
    ownBills.put(settled.id(), settled);
    return sendToWitnesses(settled);
  }

  /** Cancels the bill of a request that did not run. */
  public void cancel(String id) {
    ownBills.remove(id);
    sendDrop(id);
  }

  /** Handles the bill messages of other instances. */
  public PeerMessage handle(PeerMessage message) {
    if (message instanceof PeerMessage.HoldBill hold) {
      return hold(hold.bill());
    }
    PeerMessage.DropBills drop = (PeerMessage.DropBills) message;
    for (String id : drop.ids()) {
      heldBills.remove(id);
      droppedAt.put(id, clock.instant());
    }
    return new PeerMessage.Done();
  }

  @Override
  public void tick() {
    Instant now = clock.instant();
    if (now.isBefore(nextRetry)) {
      return;
    }
    nextRetry = now.plus(RETRY_INTERVAL);
    droppedAt.values().removeIf(dropTime -> dropTime.plus(DROPPED_RETENTION).isBefore(now));
    for (Bill bill : List.copyOf(ownBills.values())) {
      submit(bill);
    }
    for (Bill bill : List.copyOf(heldBills.values())) {
      if (membership.isUnresponsiveOrGone(bill.process())) {
        submit(bill);
      }
    }
  }

  private PeerMessage hold(Bill bill) {
    if (droppedAt.containsKey(bill.id())) {
      return new PeerMessage.Done();
    }
    if (isFull() && !heldBills.containsKey(bill.id())) {
      meters.count("bill.witness-full");
      return new PeerMessage.Failed("full");
    }
    heldBills.merge(bill.id(), bill, BillingSystem::moreAdvanced);
    return new PeerMessage.Done();
  }

  private static Bill moreAdvanced(Bill existing, Bill received) {
    if (existing.complete() != received.complete()) {
      return existing.complete() ? existing : received;
    }
    return received.answerTokens() >= existing.answerTokens() ? received : existing;
  }

  private void submit(Bill bill) {
    if (submitting.size() >= MAXIMUM_CONCURRENT_SUBMISSIONS || !submitting.add(bill.id())) {
      return;
    }
    ledger
        .apply(new LedgerEntry.Billed(bill))
        .subscribe()
        .with(
            result -> confirmed(bill.id(), result),
            failure -> {
              submitting.remove(bill.id());
              meters.count("retry.bill");
            });
  }

  private void confirmed(String id, LedgerResult result) {
    if (result.kind() == LedgerResult.Kind.EXPIRED) {
      meters.count("bill.expired");
      logger.atSevere().log(
          "bill %s is older than the retention of bill ids and was not recorded", id);
    }
    submitting.remove(id);
    ownBills.remove(id);
    heldBills.remove(id);
    meters.count("bill.confirmed");
    sendDrop(id);
  }

  private void sendDrop(String id) {
    List<Member> selected = witnesses.remove(id);
    if (selected == null) {
      return;
    }
    PeerMessage message = new PeerMessage.DropBills(List.of(id));
    for (Member witness : selected) {
      network
          .sendRequest(witness, message, WITNESS_TIMEOUT)
          .subscribe()
          .with(response -> {}, failure -> {});
    }
  }

  private Uni<Void> sendToWitnesses(Bill bill) {
    List<Uni<PeerMessage>> requests = new ArrayList<>();
    for (Member witness : witnesses.getOrDefault(bill.id(), List.of())) {
      requests.add(network.sendRequest(witness, new PeerMessage.HoldBill(bill), WITNESS_TIMEOUT));
    }
    if (requests.isEmpty()) {
      return Uni.createFrom().voidItem();
    }
    return Uni.join().first(requests).withItem().replaceWithVoid().onFailure().recoverWithNull();
  }

  /**
   * Returns up to two reachable witnesses by rank, if possible one in another availability zone and
   * one on another rack of this zone.
   */
  private List<Member> chooseWitnesses(String id) {
    List<Member> selected = new ArrayList<>();
    highestRanked(id, reachable(membership.remotePeers())).ifPresent(selected::add);
    List<Member> localPeers = new ArrayList<>(reachable(membership.zonePeers()));
    List<Member> otherRack =
        localPeers.stream().filter(peer -> !peer.rack().equals(membership.self().rack())).toList();
    highestRanked(id, otherRack.isEmpty() ? localPeers : otherRack).ifPresent(selected::add);
    if (selected.size() < WITNESSES) {
      List<Member> remaining = new ArrayList<>(reachable(membership.remotePeers()));
      remaining.removeAll(selected);
      highestRanked(id, remaining).ifPresent(selected::add);
    }
    return selected;
  }

  private List<Member> reachable(List<Member> peers) {
    return peers.stream()
        .filter(peer -> peer.epoch() > 0 && peer.state() == Member.State.ALIVE)
        .filter(membership::isReachable)
        .toList();
  }

  private static Optional<Member> highestRanked(String id, List<Member> peers) {
    List<String> names = peers.stream().map(Member::name).toList();
    List<String> ranked = Hashes.rendezvous(id, names);
    return peers.stream()
        .filter(peer -> !ranked.isEmpty() && peer.name().equals(ranked.get(0)))
        .findFirst();
  }
}
