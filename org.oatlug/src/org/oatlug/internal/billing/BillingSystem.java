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
 * Keeps bills until the ledger has them.
 *
 * <p>A bill is held by two witnesses from before the dispatch until the ledger confirmed it. The
 * process that answers the request submits the settled bill; when that process is gone, a witness
 * submits what it holds. The ledger takes the first bill of an id, so both may submit. Bills wait
 * here when the platform is away, up to a bound. Owned by one event loop, not thread-safe.
 */
public final class BillingSystem implements TickSystem {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAXIMUM_HELD = 20_000;
  private static final int SUBMITTED_AT_ONCE = 256;
  private static final int WITNESSES = 2;
  private static final Duration WITNESS_PATIENCE = Duration.ofMillis(300);
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);
  private static final Duration FORGET_DROPPED = Duration.ofMinutes(2);

  private final Membership membership;
  private final PeerNetwork network;
  private final Function<LedgerEntry, Uni<LedgerResult>> ledger;
  private final InstantSource clock;
  private final Meters meters;
  private final Map<String, Bill> own = new TreeMap<>();
  private final Map<String, List<Member>> witnesses = new HashMap<>();
  private final Map<String, Bill> held = new TreeMap<>();
  private final Map<String, Instant> dropped = new HashMap<>();
  private final Set<String> submitting = new HashSet<>();
  private Instant next = Instant.EPOCH;

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
   * Returns a system that holds nothing.
   *
   * @param ledger enters an entry and waits for its confirmation
   */
  public static BillingSystem create(
      Membership membership,
      PeerNetwork network,
      Function<LedgerEntry, Uni<LedgerResult>> ledger,
      InstantSource clock,
      Meters meters) {
    return new BillingSystem(membership, network, ledger, clock, meters);
  }

  /** Returns whether no more bills may be opened until the platform has taken some. */
  public boolean isFull() {
    return own.size() + held.size() >= MAXIMUM_HELD;
  }

  /** Returns the number of bills of this instance that are not confirmed. */
  public int unconfirmed() {
    return own.size();
  }

  /** Returns the number of bills held for others. */
  public int held() {
    return held.size();
  }

  /** Opens a bill; the result comes when a witness holds it, or none can be reached. */
  public Uni<Void> open(Bill intent) {
    List<Member> chosen = chooseWitnesses(intent.id());
    witnesses.put(intent.id(), chosen);
    if (chosen.isEmpty()) {
      meters.count("bill.without-witness");
    }
    return tellWitnesses(intent);
  }

  /** Tells the witnesses how far the answer came; nothing waits for it. */
  public void progress(Bill soFar) {
    tellWitnesses(soFar).subscribe().with(unused -> {}, failure -> {});
  }

  /** Settles a bill; the result comes when a witness holds it, or none can be reached. */
  public Uni<Void> settle(Bill settled) {
    own.put(settled.id(), settled);
    return tellWitnesses(settled);
  }

  /** Cancels the bill of a request that did not run. */
  public void cancel(String id) {
    own.remove(id);
    tellDropped(id);
  }

  /** Takes in the bills of other instances. */
  public PeerMessage handle(PeerMessage message) {
    if (message instanceof PeerMessage.HoldBill hold) {
      return hold(hold.bill());
    }
    PeerMessage.DropBills drop = (PeerMessage.DropBills) message;
    for (String id : drop.ids()) {
      held.remove(id);
      dropped.put(id, clock.instant());
    }
    return new PeerMessage.Done();
  }

  @Override
  public void tick() {
    Instant now = clock.instant();
    if (now.isBefore(next)) {
      return;
    }
    next = now.plus(RETRY_INTERVAL);
    dropped.values().removeIf(since -> since.plus(FORGET_DROPPED).isBefore(now));
    for (Bill bill : List.copyOf(own.values())) {
      submit(bill);
    }
    for (Bill bill : List.copyOf(held.values())) {
      if (membership.isLost(bill.process())) {
        submit(bill);
      }
    }
  }

  private PeerMessage hold(Bill bill) {
    if (dropped.containsKey(bill.id())) {
      return new PeerMessage.Done();
    }
    if (isFull() && !held.containsKey(bill.id())) {
      meters.count("bill.witness-full");
      return new PeerMessage.Failed("full");
    }
    held.merge(bill.id(), bill, BillingSystem::further);
    return new PeerMessage.Done();
  }

  private static Bill further(Bill one, Bill other) {
    if (one.complete() != other.complete()) {
      return one.complete() ? one : other;
    }
    return other.answerTokens() >= one.answerTokens() ? other : one;
  }

  private void submit(Bill bill) {
    if (submitting.size() >= SUBMITTED_AT_ONCE || !submitting.add(bill.id())) {
      return;
    }
    ledger
        .apply(new LedgerEntry.Billed(bill))
        .subscribe()
        .with(
            result -> entered(bill.id(), result),
            failure -> {
              submitting.remove(bill.id());
              meters.count("retry.bill");
            });
  }

  private void entered(String id, LedgerResult result) {
    if (result.kind() == LedgerResult.Kind.EXPIRED) {
      meters.count("bill.expired");
      logger.atSevere().log("bill %s waited longer than ids are kept and is not entered", id);
    }
    submitting.remove(id);
    own.remove(id);
    held.remove(id);
    meters.count("bill.confirmed");
    tellDropped(id);
  }

  private void tellDropped(String id) {
    List<Member> chosen = witnesses.remove(id);
    if (chosen == null) {
      return;
    }
    PeerMessage message = new PeerMessage.DropBills(List.of(id));
    for (Member witness : chosen) {
      network.ask(witness, message, WITNESS_PATIENCE).subscribe().with(a -> {}, failure -> {});
    }
  }

  private Uni<Void> tellWitnesses(Bill bill) {
    List<Uni<PeerMessage>> told = new ArrayList<>();
    for (Member witness : witnesses.getOrDefault(bill.id(), List.of())) {
      told.add(network.ask(witness, new PeerMessage.HoldBill(bill), WITNESS_PATIENCE));
    }
    if (told.isEmpty()) {
      return Uni.createFrom().voidItem();
    }
    return Uni.join().first(told).withItem().replaceWithVoid().onFailure().recoverWithNull();
  }

  /** Returns two witnesses by rank, one in another zone and one on another rack where there are. */
  private List<Member> chooseWitnesses(String id) {
    List<Member> chosen = new ArrayList<>();
    first(id, reachable(membership.remotePeers())).ifPresent(chosen::add);
    List<Member> zone = new ArrayList<>(reachable(membership.zonePeers()));
    List<Member> otherRack =
        zone.stream().filter(peer -> !peer.rack().equals(membership.self().rack())).toList();
    first(id, otherRack.isEmpty() ? zone : otherRack).ifPresent(chosen::add);
    if (chosen.size() < WITNESSES) {
      List<Member> rest = new ArrayList<>(reachable(membership.remotePeers()));
      rest.removeAll(chosen);
      first(id, rest).ifPresent(chosen::add);
    }
    return chosen;
  }

  private List<Member> reachable(List<Member> peers) {
    return peers.stream()
        .filter(peer -> peer.epoch() > 0 && peer.state() == Member.State.ALIVE)
        .filter(membership::isReachable)
        .toList();
  }

  private static Optional<Member> first(String id, List<Member> peers) {
    List<String> names = peers.stream().map(Member::name).toList();
    List<String> ranked = Hashes.rendezvous(id, names);
    return peers.stream()
        .filter(peer -> !ranked.isEmpty() && peer.name().equals(ranked.get(0)))
        .findFirst();
  }
}
