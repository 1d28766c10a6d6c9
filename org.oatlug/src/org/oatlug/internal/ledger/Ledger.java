// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.ledger;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
 * <p>An entry goes to the owner of the shard, the first live instance by rendezvous rank, which
 * batches the writes of all instances. If the owner does not answer, this instance writes itself:
 * ownership saves writes, it is no part of the safety argument. Owned by one event loop, not
 * thread-safe.
 */
public final class Ledger {
  private static final Duration OWNER_PATIENCE = Duration.ofMillis(700);
  private static final Duration ENTRY_PATIENCE = Duration.ofMillis(2000);
  private static final int SEAL_ABOVE_BYTES = 64 * 1024;

  private final List<Shard> shards = new ArrayList<>();
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
    Duration interval = flushInterval(settings);
    Duration retention = Duration.ofHours(settings.retentionHours());
    Shard.Options options =
        new Shard.Options(retention, interval, ENTRY_PATIENCE, SEAL_ABOVE_BYTES);
    for (int number = 0; number < settings.shards(); number++) {
      ledger.shards.add(Shard.create(number, platform, clock, options, metrics));
    }
    return ledger;
  }

  /** Returns the time between two writes of a shard that keeps all shards within their share. */
  static Duration flushInterval(Settings.Ledger settings) {
    return Duration.ofSeconds(1)
        .multipliedBy(settings.shards())
        .dividedBy(settings.writesPerSecond());
  }

  /**
   * Enters an entry and waits for its confirmation.
   *
   * <p>Fails with {@link LedgerUnavailableException} when it is not known to be recorded; it may
   * then still take effect.
   */
  public Uni<LedgerResult> submit(LedgerEntry entry) {
    int number = Math.floorMod(Hashes.hash64("shard", entry.key()), shards.size());
    Optional<Member> owner = membership.ownerOf("shard-" + number);
    if (owner.isEmpty() || membership.isSelf(owner.get())) {
      return shards.get(number).submit(entry);
    }
    return network
        .ask(owner.get(), new PeerMessage.Submit(number, List.of(entry)), OWNER_PATIENCE)
        .onItem()
        .transformToUni(Ledger::firstResult)
        .onFailure()
        .recoverWithUni(
            () -> {
              meters.count("retry.ledger-owner");
              return shards.get(number).submit(entry);
            });
  }

  /** Enters the entries of another instance. */
  public Uni<PeerMessage> submitted(PeerMessage.Submit message) {
    Shard shard = shards.get(Math.floorMod(message.shard(), shards.size()));
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
    shards.forEach(Shard::tick);
  }

  private static Uni<LedgerResult> firstResult(PeerMessage answer) {
    if (answer instanceof PeerMessage.Submitted submitted && !submitted.results().isEmpty()) {
      return Uni.createFrom().item(submitted.results().get(0));
    }
    return Uni.createFrom().failure(new LedgerUnavailableException(null));
  }
}
