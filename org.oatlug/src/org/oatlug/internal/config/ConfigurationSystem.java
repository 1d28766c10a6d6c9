// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.oatlug.config.Kinds;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;
import org.oatlug.internal.table.Freshness;
import org.oatlug.internal.table.Tables;
import org.oatlug.internal.util.Hashes;
import org.oatlug.internal.util.TickSystem;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoredObject;

/**
 * Brings published objects into force.
 *
 * <p>The readers of an availability zone watch the platform and pass changes on over a fan-out
 * tree; every instance exchanges digests with another one each interval, which repairs any loss.
 * Objects are joined by version, so nothing that arrives late or twice has an effect. Owned by one
 * event loop, not thread-safe.
 */
public final class ConfigurationSystem implements TickSystem {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(1000);
  private static final Duration LIST_INTERVAL = Duration.ofSeconds(30);
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);
  private static final Duration PATIENCE = Duration.ofMillis(800);
  private static final int TREE_WIDTH = 4;
  private static final int WATCHES_PER_BOUND = 3;

  private final Tables tables;
  private final Platform platform;
  private final Membership membership;
  private final PeerNetwork network;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Meters meters;
  private boolean watching;
  private long revision;
  private Instant nextList = Instant.EPOCH;
  private Instant nextWatch = Instant.EPOCH;
  private Instant nextExchange = Instant.EPOCH;
  private Instant nextInstances = Instant.EPOCH;

  private ConfigurationSystem(
      Tables tables,
      Platform platform,
      Membership membership,
      PeerNetwork network,
      Support support) {
    this.tables = tables;
    this.platform = platform;
    this.membership = membership;
    this.network = network;
    this.clock = support.clock();
    this.random = support.random();
    this.meters = support.meters();
  }

  /**
   * What the system needs besides tables and neighbours.
   *
   * @param clock the clock
   * @param random the source of chance
   * @param meters the counters
   */
  public record Support(InstantSource clock, RandomGenerator random, Meters meters) {}

  /** Returns a system that has not read anything yet. */
  public static ConfigurationSystem create(
      Tables tables,
      Platform platform,
      Membership membership,
      PeerNetwork network,
      Support support) {
    return new ConfigurationSystem(tables, platform, membership, network, support);
  }

  @Override
  public void tick() {
    Instant now = clock.instant();
    readInstances(now);
    watch(now);
    exchange(now);
  }

  /** Answers a digest, buckets or objects of a peer. */
  public Uni<PeerMessage> handle(Member from, PeerMessage message) {
    if (message instanceof PeerMessage.Digest digest) {
      if (digest.digest() == tables.catalogue().join().digest()) {
        learnAge(digest.contactAge());
      }
      return Uni.createFrom().item(ownDigest());
    }
    if (message instanceof PeerMessage.BucketDigests buckets) {
      PeerMessage answer = new PeerMessage.Objects(differing(buckets.digests()), age(), false);
      return Uni.createFrom().item(answer);
    }
    PeerMessage.Objects objects = (PeerMessage.Objects) message;
    List<StoredObject> fresh = tables.catalogue().mergeAll(objects.objects());
    if (objects.forward() && !fresh.isEmpty()) {
      forward(fresh);
    }
    return Uni.createFrom().item(new PeerMessage.Done());
  }

  /** Confirms the configuration with the platform or a peer; goes on when neither answers. */
  public Uni<Void> confirm() {
    Uni<Void> withPeer = exchangeWithAny();
    return listOnce().onFailure().recoverWithUni(unused -> withPeer).onFailure().recoverWithNull();
  }

  private void readInstances(Instant now) {
    if (now.isBefore(nextInstances)) {
      return;
    }
    nextInstances = now.plus(LIST_INTERVAL.dividedBy(10));
    if (!membership.isReader() && !membership.zonePeers().isEmpty()) {
      return;
    }
    platform.instances().subscribe().with(membership::listed, failure -> {});
  }

  private void watch(Instant now) {
    if (watching || now.isBefore(nextWatch) || !membership.isReader()) {
      return;
    }
    watching = true;
    boolean list = revision == 0 || !now.isBefore(nextList);
    Uni<Void> read = list ? listOnce() : watchOnce();
    read.subscribe().with(unused -> watching = false, this::watchFailed);
  }

  private void watchFailed(Throwable failure) {
    meters.count("retry.platform-watch");
    watching = false;
    revision = 0;
    nextWatch = clock.instant().plus(RETRY_INTERVAL);
  }

  private Uni<Void> listOnce() {
    return platform.list(Kinds.ALL).invoke(this::listed).replaceWithVoid();
  }

  private void listed(Platform.Batch batch) {
    nextList = clock.instant().plus(LIST_INTERVAL);
    received(batch);
  }

  private Uni<Void> watchOnce() {
    Duration wait = tables.freshness().bound().dividedBy(WATCHES_PER_BOUND);
    return platform.watch(Kinds.ALL, revision, wait).invoke(this::received).replaceWithVoid();
  }

  private void received(Platform.Batch batch) {
    revision = batch.revision();
    Freshness freshness = tables.freshness();
    freshness.learn(Duration.ZERO, clock.instant());
    List<StoredObject> fresh = tables.catalogue().mergeAll(batch.objects());
    if (!fresh.isEmpty()) {
      logger.atInfo().log("%d objects came into force at revision %d", fresh.size(), revision);
      forward(fresh);
    }
  }

  /** Passes objects on to this instance's children in the tree of the newest of them. */
  private void forward(List<StoredObject> objects) {
    long newest = objects.stream().mapToLong(StoredObject::version).max().orElse(0);
    List<Member> zone = new ArrayList<>(membership.zonePeers());
    zone.add(membership.self());
    List<String> names = zone.stream().map(Member::name).toList();
    List<String> order = Hashes.rendezvous("tree-" + newest, names);
    int position = order.indexOf(membership.self().name());
    PeerMessage message = new PeerMessage.Objects(objects, age(), true);
    for (Member peer : zone) {
      int rank = order.indexOf(peer.name());
      boolean child = rank > 0 && (rank - 1) / TREE_WIDTH == position;
      boolean root = rank == 0 && membership.isReader();
      if ((child || root) && !membership.isSelf(peer)) {
        send(peer, message);
      }
    }
  }

  private void send(Member peer, PeerMessage message) {
    network
        .ask(peer, message, PATIENCE)
        .subscribe()
        .with(answer -> {}, failure -> meters.count("retry.peer-objects"));
  }

  private void exchange(Instant now) {
    if (now.isBefore(nextExchange)) {
      return;
    }
    nextExchange = now.plus(EXCHANGE_INTERVAL);
    pick(membership.zonePeers()).subscribe().with(peer -> {}, failure -> {});
    membership.parent().ifPresent(this::exchangeWithParent);
    if (membership.isReader() || membership.zonePeers().isEmpty()) {
      pick(membership.remotePeers()).subscribe().with(peer -> {}, failure -> {});
    }
  }

  private void exchangeWithParent(Member parent) {
    exchangeWith(parent).subscribe().with(unused -> {}, failure -> {});
  }

  private Uni<Void> pick(List<Member> peers) {
    if (peers.isEmpty()) {
      return Uni.createFrom().voidItem();
    }
    return exchangeWith(peers.get(random.nextInt(peers.size())));
  }

  private Uni<Void> exchangeWithAny() {
    List<Member> peers = new ArrayList<>(membership.zonePeers());
    peers.addAll(membership.remotePeers());
    Uni<Void> attempt = Uni.createFrom().failure(new IllegalStateException("no peer"));
    for (Member peer : peers) {
      attempt = attempt.onFailure().recoverWithUni(() -> exchangeWith(peer));
    }
    return attempt;
  }

  private Uni<Void> exchangeWith(Member peer) {
    return network
        .ask(peer, ownDigest(), PATIENCE)
        .onItem()
        .transformToUni(answer -> compare(peer, (PeerMessage.Digest) answer));
  }

  private Uni<Void> compare(Member peer, PeerMessage.Digest digest) {
    if (digest.digest() == tables.catalogue().join().digest()) {
      learnAge(digest.contactAge());
      return Uni.createFrom().voidItem();
    }
    long[] own = tables.catalogue().join().bucketDigests();
    return network
        .ask(peer, new PeerMessage.BucketDigests(own, age()), PATIENCE)
        .invoke(answer -> takeDifference((PeerMessage.Objects) answer))
        .replaceWithVoid();
  }

  private void takeDifference(PeerMessage.Objects objects) {
    List<StoredObject> fresh = tables.catalogue().mergeAll(objects.objects());
    learnAge(objects.contactAge());
    if (!fresh.isEmpty()) {
      meters.count("configuration.repaired");
      forward(fresh);
    }
  }

  private List<StoredObject> differing(long[] digests) {
    long[] own = tables.catalogue().join().bucketDigests();
    List<StoredObject> objects = new ArrayList<>();
    for (int bucket = 0; bucket < Math.min(own.length, digests.length); bucket++) {
      if (own[bucket] != digests[bucket]) {
        objects.addAll(tables.catalogue().join().bucket(bucket));
      }
    }
    return objects;
  }

  private PeerMessage.Digest ownDigest() {
    return new PeerMessage.Digest(tables.catalogue().join().digest(), age());
  }

  private long age() {
    return tables.freshness().age(clock.instant()).map(Duration::toMillis).orElse(-1L);
  }

  /** Learns the age of a peer's platform contact, once this instance has all that the peer has. */
  private void learnAge(long ageMillis) {
    if (ageMillis >= 0) {
      tables.freshness().learn(Duration.ofMillis(ageMillis), clock.instant());
    }
  }
}
