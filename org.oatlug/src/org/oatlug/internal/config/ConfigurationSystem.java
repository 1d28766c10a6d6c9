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
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;
import org.oatlug.internal.table.Freshness;
import org.oatlug.internal.util.TickSystem;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Brings published objects into force.
 *
 * <p>The readers of an availability zone watch the platform and push changes to all others, see
 * {@link ObjectSpread}; every instance exchanges digests with another one each interval, which
 * repairs any loss. Objects are joined, see {@link ObjectJoin}, so nothing that arrives late or
 * twice has an effect. Owned by one event loop, not thread-safe.
 */
public final class ConfigurationSystem implements TickSystem {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(1000);
  private static final Duration INSTANCES_INTERVAL = Duration.ofSeconds(3);
  private static final Duration PATIENCE = Duration.ofMillis(800);

  /**
   * How long others may take to say whether they are in sync: a process that has just started is
   * slow, and so are its first connections. Where none listens, the connection is refused at once.
   */
  private static final Duration SYNC_PATIENCE = Duration.ofMillis(1500);

  /** At most a line each so many seconds tells of comparisons that failed. */
  private static final int FAILED_DIGEST_LINES_SECONDS = 1;

  /** At most a line each so many seconds says that an object of the store was ignored. */
  private static final int IGNORED_LINES_SECONDS = 1;

  private static final int WATCHES_PER_BOUND = 3;

  private final ObjectSink objects;
  private final Freshness freshness;
  private final Platform platform;
  private final Membership membership;
  private final PeerNetwork network;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Meters meters;
  private final ObjectSpread spread;
  private final StartupSync startupSync;
  private final ReaderRole role;
  private final OutageProbe probe = OutageProbe.create();
  private final List<StoreWatch> watches;
  private boolean learnedAll;
  private Instant nextExchange = Instant.EPOCH;
  private Instant nextInstances = Instant.EPOCH;

  private ConfigurationSystem(
      ObjectSink objects,
      Freshness freshness,
      Platform platform,
      Membership membership,
      PeerNetwork network,
      Support support) {
    this.objects = objects;
    this.freshness = freshness;
    this.platform = platform;
    this.membership = membership;
    this.network = network;
    this.clock = support.clock();
    this.random = support.random();
    this.meters = support.meters();
    this.spread = ObjectSpread.create(membership, network, random, meters, this::age);
    this.startupSync = StartupSync.create(membership, random, new SyncPeers());
    this.role = ReaderRole.create(membership, network, clock, meters, this::checkPlatform);
    this.watches = support.watchGroups().stream().map(this::watchOf).toList();
  }

  /**
   * What the system needs besides tables and neighbours.
   *
   * @param clock the clock
   * @param random the source of chance
   * @param meters the counters
   * @param watchGroups the kinds that are read; those of one group share a watch
   */
  public record Support(
      InstantSource clock, RandomGenerator random, Meters meters, List<List<String>> watchGroups) {}

  /** Returns a system that has not read anything yet. */
  public static ConfigurationSystem create(
      ObjectSink objects,
      Freshness freshness,
      Platform platform,
      Membership membership,
      PeerNetwork network,
      Support support) {
    return new ConfigurationSystem(objects, freshness, platform, membership, network, support);
  }

  @Override
  public void tick() {
    Instant now = clock.instant();
    startupSync.tick();
    role.tick();
    readInstances(now);
    watches.forEach(watch -> watch.tick(now));
    exchange(now);
  }

  /** Answers a digest, buckets, objects or the wish of a reader to be replaced. */
  public Uni<PeerMessage> handle(Member from, PeerMessage message) {
    if (message instanceof PeerMessage.Digest digest) {
      if (digest.digest() == objects.join().digest()) {
        learnAge(digest.contactAge());
      }
      return Uni.createFrom().item(ownDigest());
    }
    if (message instanceof PeerMessage.BucketDigests buckets) {
      PeerMessage answer = new PeerMessage.Objects(differing(buckets.digests()), age(), false);
      return Uni.createFrom().item(answer);
    }
    if (message instanceof PeerMessage.ReadInstead) {
      return role.readInstead();
    }
    PeerMessage.Objects objects = (PeerMessage.Objects) message;
    noteEpochs(objects.objects());
    List<StoredObject> fresh =
        this.objects.mergeAll(objects.objects(), Origin.pushedBy(from.name()));
    if (objects.forward() && !fresh.isEmpty()) {
      spread.pushed(from, fresh);
    }
    return Uni.createFrom().item(new PeerMessage.Done());
  }

  /**
   * Returns whether all kinds have been read: from the platform, or from an instance that had read
   * them. Before, an object that is not known may stand there all the same.
   */
  public boolean hasReadAll() {
    return learnedAll || watches.stream().allMatch(StoreWatch::hasRead);
  }

  /**
   * Returns whether this instance knows what the instances know that ran before it, or found none:
   * what it has read may be an older copy of the store.
   */
  public boolean isInSync() {
    return startupSync.isInSync();
  }

  /** Confirms the configuration with the platform or a peer; goes on when neither answers. */
  public Uni<Void> confirm() {
    Uni<Void> withPeer = exchangeWithAny();
    return listOnce().onFailure().recoverWithUni(unused -> withPeer).onFailure().recoverWithNull();
  }

  /** Reads something from the platform, unless a watch that works is there already. */
  private Uni<Void> checkPlatform() {
    StoreWatch first = watches.get(0);
    if (first.isHealthy()) {
      return Uni.createFrom().voidItem();
    }
    watches.forEach(StoreWatch::believeMissing);
    return first.listOnce().invoke(() -> watches.forEach(StoreWatch::believeMissing));
  }

  private void readInstances(Instant now) {
    if (now.isBefore(nextInstances)) {
      return;
    }
    nextInstances = now.plus(INSTANCES_INTERVAL);
    if (!role.isReader() && !membership.zonePeers().isEmpty()) {
      return;
    }
    platform.instances().subscribe().with(membership::listed, failure -> {});
  }

  private Uni<Void> listOnce() {
    Uni<Void> all = Uni.createFrom().voidItem();
    for (StoreWatch watch : watches) {
      all = all.onItem().transformToUni(unused -> watch.listOnce());
    }
    return all;
  }

  private StoreWatch watchOf(List<String> kinds) {
    Duration longestWait = freshness.bound().dividedBy(WATCHES_PER_BOUND);
    return StoreWatch.create(kinds, longestWait, platform, probe, clock, meters, new WatchOwner());
  }

  /** What the watches need of this system. */
  private final class WatchOwner implements StoreWatch.Owner {
    @Override
    public boolean isReader() {
      return role.isReader();
    }

    @Override
    public boolean isFirstReader() {
      return role.isFirstReader();
    }

    @Override
    public boolean isStarting() {
      return role.isStarting();
    }

    @Override
    public ObjectJoin known() {
      return objects.join();
    }

    @Override
    public void received(List<StoredObject> read, StoreRevision revision, Origin origin) {
      take(read, revision, origin);
    }

    @Override
    public void platformFails() {
      role.platformFails();
    }
  }

  private final class SyncPeers implements StartupSync.Peers {
    @Override
    public boolean hasReadAll() {
      return ConfigurationSystem.this.hasReadAll();
    }

    @Override
    public Uni<Boolean> isInSync(Member peer) {
      return network
          .ask(peer, ownDigest(), SYNC_PATIENCE)
          .map(answer -> ((PeerMessage.Digest) answer).inSync());
    }

    @Override
    public Uni<Void> fetch(Member peer) {
      return exchangeWith(peer);
    }
  }

  private void take(List<StoredObject> received, StoreRevision revision, Origin origin) {
    freshness.learn(Duration.ZERO, clock.instant());
    List<StoredObject> fresh = objects.mergeAll(received, origin);
    received.forEach(object -> noteIfIgnored(object, origin));
    if (!fresh.isEmpty()) {
      logger.atInfo().log(
          "%d objects came into force at revision %s %s", fresh.size(), revision, origin);
      if (!role.isStarting()) {
        spread.read(fresh);
      }
    }
  }

  /** Writes a line if the store shows other content than what is in force here. */
  private void noteIfIgnored(StoredObject read, Origin origin) {
    Optional<StoredObject> known = objects.join().get(read.key());
    if (known.isEmpty() || known.get().value().equals(read.value())) {
      return;
    }
    meters.count("store.ignored." + read.key().kind());
    logger.atInfo().atMostEvery(IGNORED_LINES_SECONDS, TimeUnit.SECONDS).log(
        "%s revision=%s is ignored, revision=%s is in force %s",
        read.key(), read.revision(), known.get().revision(), origin);
  }

  private void exchange(Instant now) {
    if (now.isBefore(nextExchange)) {
      return;
    }
    nextExchange = now.plus(EXCHANGE_INTERVAL);
    start(pick(membership.zonePeers()));
    membership.parent().ifPresent(parent -> start(exchangeWith(parent)));
    if (role.isReader() || membership.zonePeers().isEmpty()) {
      start(pick(membership.remotePeers()));
    }
  }

  /** Starts a comparison; one that fails is made up for by the next. */
  private void start(Uni<Void> comparison) {
    comparison.subscribe().with(unused -> {}, this::notCompared);
  }

  private void notCompared(Throwable failure) {
    meters.count("retry.peer-digest");
    logger.atInfo().atMostEvery(FAILED_DIGEST_LINES_SECONDS, TimeUnit.SECONDS).log(
        "digests were not compared: %s", failure.getMessage());
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
    if (digest.digest() == objects.join().digest()) {
      learnAge(digest.contactAge());
      learnedAll |= digest.readAll();
      return Uni.createFrom().voidItem();
    }
    long[] own = objects.join().bucketDigests();
    return network
        .ask(peer, new PeerMessage.BucketDigests(own, age()), PATIENCE)
        .invoke(answer -> takeDifference(peer, (PeerMessage.Objects) answer))
        .invoke(unused -> learnedAll |= digest.readAll())
        .replaceWithVoid();
  }

  private void takeDifference(Member peer, PeerMessage.Objects objects) {
    noteEpochs(objects.objects());
    List<StoredObject> fresh =
        this.objects.mergeAll(objects.objects(), Origin.comparedWith(peer.name()));
    learnAge(objects.contactAge());
    if (!fresh.isEmpty()) {
      meters.count("configuration.repaired");
      spread.brought(fresh);
    }
  }

  /** Learns from objects of another instance that the store was restored. */
  private void noteEpochs(List<StoredObject> objects) {
    objects.forEach(object -> platform.epoch().note(object.revision().epoch()));
  }

  private List<StoredObject> differing(long[] digests) {
    long[] own = objects.join().bucketDigests();
    List<StoredObject> found = new ArrayList<>();
    for (int bucket = 0; bucket < Math.min(own.length, digests.length); bucket++) {
      if (own[bucket] != digests[bucket]) {
        found.addAll(objects.join().bucket(bucket));
      }
    }
    return found;
  }

  private PeerMessage.Digest ownDigest() {
    return new PeerMessage.Digest(objects.join().digest(), age(), hasReadAll(), isInSync());
  }

  private long age() {
    return freshness.age(clock.instant()).map(Duration::toMillis).orElse(-1L);
  }

  /** Learns the age of a peer's platform contact, once this instance has all that the peer has. */
  private void learnAge(long ageMillis) {
    if (ageMillis >= 0) {
      freshness.learn(Duration.ofMillis(ageMillis), clock.instant());
    }
  }
}
