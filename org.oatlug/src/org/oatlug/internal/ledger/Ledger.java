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
 * The way from any instance to the shard of a key.
 *
 * <p>Claims and bills have shards of their own, so that a new owner of claims need not read bills
 * before it answers; bills are written less often and in larger segments. An entry goes to the
 * owner of the shard, the first live instance by rendezvous rank, which batches the writes of all
 * instances. If the owner does not answer, this instance writes itself: ownership saves writes, it
 * is no part of the safety argument. Owned by one event loop, not thread-safe.
 */
public final class Ledger {
  private static final Duration OWNER_PATIENCE = Duration.ofMillis(700);
  private static final Duration ENTRY_PATIENCE = Duration.ofMillis(2000);
  private static final Duration BILL_INTERVAL = Duration.ofSeconds(1);
  private static final Duration BILL_PATIENCE = Duration.ofSeconds(4);
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

  /** Returns the ledger as this instance reaches it. */
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
        new Shard.Options(retention, claimInterval(settings), ENTRY_PATIENCE, CLAIM_HEAD_BYTES);
    Shard.Options bills =
        new Shard.Options(retention, BILL_INTERVAL, BILL_PATIENCE, BILL_HEAD_BYTES);
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

  /** Returns the time between two writes of a claim shard that keeps all shards in their share. */
  static Duration claimInterval(Settings.Ledger settings) {
    int forClaims = Math.max(1, settings.writesPerSecond() - settings.shards());
    return Duration.ofSeconds(1).multipliedBy(settings.shards()).dividedBy(forClaims);
  }

  /**
   * Enters an entry and waits for its confirmation.
   *
   * <p>Fails with {@link LedgerUnavailableException} when it is not known to be recorded; it may
   * then still take effect.
   */
  public Uni<LedgerResult> submit(LedgerEntry entry) {
    boolean billed = entry instanceof LedgerEntry.Billed;
    int number = Math.floorMod(Hashes.hash64("shard", entry.key()), claims.size());
    String name = billed ? billShard(number) : claimShard(number);
    Shard shard = billed ? bills.get(name) : claims.get(name);
    Duration patience = billed ? BILL_PATIENCE : OWNER_PATIENCE;
    Optional<Member> owner = membership.ownerOf(name);
    if (owner.isEmpty() || membership.isSelf(owner.get())) {
      return shard.submit(entry);
    }
    return network
        .ask(owner.get(), new PeerMessage.Submit(name, List.of(entry)), patience)
        .onItem()
        .transformToUni(Ledger::firstResult)
        .onFailure()
        .recoverWithUni(
            () -> {
              meters.count("retry.ledger-owner");
              return shard.submit(entry);
            });
  }

  /** Enters the entries of another instance. */
  public Uni<PeerMessage> submitted(PeerMessage.Submit message) {
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

  /** Lets each shard write. */
  public void tick() {
    claims.values().forEach(Shard::tick);
    bills.values().forEach(Shard::tick);
  }

  private static Uni<LedgerResult> firstResult(PeerMessage answer) {
    if (answer instanceof PeerMessage.Submitted submitted && !submitted.results().isEmpty()) {
      return Uni.createFrom().item(submitted.results().get(0));
    }
    return Uni.createFrom().failure(new LedgerUnavailableException(null));
  }
}
