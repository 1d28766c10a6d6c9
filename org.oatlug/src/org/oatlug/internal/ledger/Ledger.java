// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.ledger;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oatlug.config.Settings;
import org.oatlug.errors.LedgerUnavailableException;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;
import org.oatlug.internal.util.Hashes;
import org.oatlug.platform.Platform;

/**
 * Routes ledger entries from any instance to the shard of their key.
 *
 * <p>Claims and bills use separate shards, so that a new owner of a claim shard need not read bills
 * before it responds; bills are written less often and in larger segments. An entry is sent to the
 * owner of the shard, the first by rendezvous rank of the instances that are alive and reachable,
 * which batches the writes of all instances. If the owner does not respond or reports a failure,
 * this instance writes the entry itself: ownership reduces the number of writes, and safety does
 * not depend on it. Owned by one event loop, not thread-safe.
 */
public final class Ledger {
  private static final Duration OWNER_TIMEOUT = Duration.ofMillis(700);
  private static final Duration CLAIM_TIMEOUT = Duration.ofMillis(2000);
  private static final Duration BILL_INTERVAL = Duration.ofSeconds(1);
  private static final Duration BILL_TIMEOUT = Duration.ofSeconds(4);
  private static final int CLAIM_HEAD_BYTES = 64 * 1024;
  private static final int BILL_HEAD_BYTES = 256 * 1024;

  private final Map<String, Shard> claims = new TreeMap<>();
  private final Map<String, Shard> bills = new TreeMap<>();
  private final Membership membership;
  private final PeerNetwork network;
  private final Meters meters;

  private Ledger(Membership membership, PeerNetwork network, Meters meters) {
    this.membership = membership;
    this.network = network;
    this.meters = meters;
  }

  /** Creates the ledger client of this instance. */
  public static Ledger create(
      Settings.Ledger settings,
      Platform platform,
      InstantSource clock,
      Membership membership,
      PeerNetwork network,
      MetricRegistry metrics) {
    Ledger ledger = new Ledger(membership, network, Meters.of(metrics));
    Duration retention = Duration.ofHours(settings.retentionHours());
    Shard.Options claims =
        new Shard.Options(retention, claimInterval(settings), CLAIM_TIMEOUT, CLAIM_HEAD_BYTES);
    Shard.Options bills =
        new Shard.Options(retention, BILL_INTERVAL, BILL_TIMEOUT, BILL_HEAD_BYTES);
    for (int number = 0; number < settings.shards(); number++) {
      String claimName = claimShard(number);
      String billName = billShard(number);
      ledger.claims.put(claimName, Shard.create(claimName, platform, clock, claims, metrics));
      ledger.bills.put(billName, Shard.create(billName, platform, clock, bills, metrics));
    }
    return ledger;
  }

  static String claimShard(int number) {
    return "claims-" + number;
  }

  static String billShard(int number) {
    return "bills-" + number;
  }

  /**
   * Returns the interval between two writes of a claim shard that keeps all shards together within
   * the configured writes per second.
   */
  static Duration claimInterval(Settings.Ledger settings) {
    int claimWritesPerSecond = Math.max(1, settings.writesPerSecond() - settings.shards());
    return Duration.ofSeconds(1).multipliedBy(settings.shards()).dividedBy(claimWritesPerSecond);
  }

  /**
   * Submits an entry and completes when it is confirmed.
   *
   * <p>Fails with {@link LedgerUnavailableException} when the entry is not known to be recorded; it
   * may still take effect.
   */
  public Uni<LedgerResult> submit(LedgerEntry entry) {
    boolean isBill = entry instanceof LedgerEntry.Billed;
    int number = Math.floorMod(Hashes.hash64("shard", entry.key()), claims.size());
    String name = isBill ? billShard(number) : claimShard(number);
    Shard shard = isBill ? bills.get(name) : claims.get(name);
    Duration timeout = isBill ? BILL_TIMEOUT : OWNER_TIMEOUT;
    Optional<Member> owner = membership.ownerOf(name);
    if (owner.isEmpty() || membership.isSelf(owner.get())) {
      return shard.submit(entry);
    }
    return network
        .sendRequest(owner.get(), new PeerMessage.Submit(name, List.of(entry)), timeout)
        .onItem()
        .transformToUni(Ledger::firstResult)
        .onFailure()
        .recoverWithUni(
            () -> {
              meters.count("retry.ledger-owner");
              return shard.submit(entry);
            });
  }

  /** Submits the entries received from another instance. */
  public Uni<PeerMessage> handleSubmit(PeerMessage.Submit message) {
    Shard shard = claims.getOrDefault(message.shard(), bills.get(message.shard()));
    if (shard == null) {
      return Uni.createFrom().item(new PeerMessage.Failed("unknown shard"));
    }
    List<Uni<LedgerResult>> results = new ArrayList<>();
    for (LedgerEntry entry : message.entries()) {
      results.add(shard.submit(entry));
    }
    if (results.isEmpty()) {
      return Uni.createFrom().item(new PeerMessage.Submitted(List.of()));
    }
    return Uni.join().all(results).andFailFast().map(PeerMessage.Submitted::new);
  }

  /** Runs the periodic work of each shard. */
  public void tick() {
    claims.values().forEach(Shard::tick);
    bills.values().forEach(Shard::tick);
  }

  private static Uni<LedgerResult> firstResult(PeerMessage response) {
    if (response instanceof PeerMessage.Submitted submitted && !submitted.results().isEmpty()) {
      return Uni.createFrom().item(submitted.results().get(0));
    }
    return Uni.createFrom().failure(new LedgerUnavailableException(null));
  }
}
