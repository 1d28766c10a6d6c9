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
 * Applies published objects on this instance and replicates them between instances.
 *
 * <p>The readers of an availability zone watch the platform and push changes to the other
 * instances, see {@link ObjectBroadcaster}. Every instance periodically compares digests with a
 * peer, which repairs lost pushes. Objects are merged, see {@link ObjectJoin}, so late or duplicate
 * messages have no effect. Owned by one event loop, not thread-safe.
 */
public final class ConfigurationSystem implements TickSystem {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(1000);
  private static final Duration INSTANCE_LIST_INTERVAL = Duration.ofSeconds(3);
  private static final Duration EXCHANGE_TIMEOUT = Duration.ofMillis(800);

  /**
   * Timeout of the query whether a peer is in sync. It is longer than that of an exchange, as a
   * process that has just started is slow, and so are its first connections. Where no process
   * listens, the connection is refused at once.
   */
  static final Duration SYNC_TIMEOUT = Duration.ofMillis(1500);

  /** Minimum time between log lines about failed digest comparisons. */
  private static final int FAILED_DIGEST_LOG_INTERVAL_SECONDS = 1;

  /** Minimum time between log lines about ignored objects of the store. */
  private static final int IGNORED_OBJECT_LOG_INTERVAL_SECONDS = 1;

  private final ObjectSink objects;
  private final Freshness freshness;
  private final Platform platform;
  private final Membership membership;
  private final PeerNetwork network;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Meters meters;
  private final ObjectBroadcaster broadcaster;
  private final StartupSync startupSync;
  private final ReaderRole role;
  private final OutageProbe outageProbe = OutageProbe.create();
  private final List<StoreWatch> watches;
  private boolean syncedAllFromPeer;
  private Instant nextExchange = Instant.EPOCH;
  private Instant nextInstanceList = Instant.EPOCH;

  private ConfigurationSystem(
      ObjectSink objects,
      Freshness freshness,
      Platform platform,
      Membership membership,
      PeerNetwork network,
      Dependencies dependencies) {
    this.objects = objects;
    this.freshness = freshness;
    this.platform = platform;
    this.membership = membership;
    this.network = network;
    this.clock = dependencies.clock();
    this.random = dependencies.random();
    this.meters = dependencies.meters();
    this.broadcaster =
        ObjectBroadcaster.create(membership, network, random, meters, this::contactAgeMillis);
    this.startupSync = StartupSync.create(membership, random, clock, new SyncPeers());
    this.role = ReaderRole.create(membership, network, clock, meters, this::probePlatform);
    this.watches = createWatches(dependencies);
  }

  /**
   * Dependencies of the system besides tables, platform and peers.
   *
   * @param clock the clock
   * @param random the source of randomness
   * @param meters the counters
   * @param watchGroups the kinds to read; the kinds of one group share a watch
   * @param propagationBound the time within which a change of the store takes effect everywhere
   */
  public record Dependencies(
      InstantSource clock,
      RandomGenerator random,
      Meters meters,
      List<List<String>> watchGroups,
      Duration propagationBound) {}

  /** Returns a system that has not read any object yet. */
  public static ConfigurationSystem create(
      ObjectSink objects,
      Freshness freshness,
      Platform platform,
      Membership membership,
      PeerNetwork network,
      Dependencies dependencies) {
    return new ConfigurationSystem(objects, freshness, platform, membership, network, dependencies);
  }

  @Override
  public void tick() {
    Instant now = clock.instant();
    startupSync.tick();
    role.tick();
    readInstances(now);
    watches.forEach(watch -> watch.tick(now));
    broadcaster.tick();
    exchange(now);
  }

  /** Handles a digest, bucket digests, objects or the request to read in place of a reader. */
  public Uni<PeerMessage> handle(Member from, PeerMessage message) {
    if (message instanceof PeerMessage.Digest digest) {
      if (digest.digest() == objects.join().digest()) {
        recordContactAge(digest.contactAge());
      }
      return Uni.createFrom().item(ownDigest());
    }
    if (message instanceof PeerMessage.BucketDigests buckets) {
      PeerMessage answer =
          new PeerMessage.Objects(
              objectsInDifferingBuckets(buckets.digests()), contactAgeMillis(), false);
      return Uni.createFrom().item(answer);
    }
    if (message instanceof PeerMessage.ReadInstead) {
      return role.handleReadInstead();
    }
    PeerMessage.Objects objects = (PeerMessage.Objects) message;
    recordEpochs(objects.objects());
    List<StoredObject> updated =
        this.objects.mergeAll(objects.objects(), Origin.pushedBy(from.name()));
    if (objects.forward() && !updated.isEmpty()) {
      broadcaster.relay(from, updated);
    }
    return Uni.createFrom().item(new PeerMessage.Done());
  }

  /**
   * Returns whether all kinds have been read, from the platform or from an instance that had read
   * them. Until then, an unknown object may nevertheless exist in the store.
   */
  public boolean hasReadAll() {
    return syncedAllFromPeer || watches.stream().allMatch(StoreWatch::hasRead);
  }

  /**
   * Returns whether this instance has all objects of the instances that ran before it, or found no
   * such instance. Until then, its objects may come from an older copy of the store.
   */
  public boolean isInSync() {
    return startupSync.isInSync();
  }

  /** Refreshes the objects from the platform or a peer; succeeds even if neither responds. */
  public Uni<Void> confirm() {
    Uni<Void> peerExchange = exchangeWithAny();
    return listOnce()
        .onFailure()
        .recoverWithUni(unused -> peerExchange)
        .onFailure()
        .recoverWithNull();
  }

  /** Reads the list of the first watch from the platform, unless that watch is healthy. */
  private Uni<Void> probePlatform() {
    StoreWatch first = watches.get(0);
    if (first.isHealthy()) {
      return Uni.createFrom().voidItem();
    }
    watches.forEach(StoreWatch::tolerateMissing);
    return first.listOnce().invoke(() -> watches.forEach(StoreWatch::tolerateMissing));
  }

  private void readInstances(Instant now) {
    if (now.isBefore(nextInstanceList)) {
      return;
    }
    nextInstanceList = now.plus(INSTANCE_LIST_INTERVAL);
    if (!role.isReader() && !membership.zonePeers().isEmpty()) {
      return;
    }
    platform.instances().subscribe().with(membership::mergeListed, failure -> {});
  }

  private Uni<Void> listOnce() {
    Uni<Void> all = Uni.createFrom().voidItem();
    for (StoreWatch watch : watches) {
      all = all.onItem().transformToUni(unused -> watch.listOnce());
    }
    return all;
  }

  private List<StoreWatch> createWatches(Dependencies dependencies) {
    List<List<String>> groups = dependencies.watchGroups();
    WatchTiming timing = WatchTiming.within(dependencies.propagationBound(), groups.size());
    List<StoreWatch> created = new ArrayList<>();
    for (List<String> kinds : groups) {
      created.add(
          StoreWatch.create(
              kinds,
              created.size(),
              timing,
              platform,
              outageProbe,
              clock,
              meters,
              new WatchOwner()));
    }
    return List.copyOf(created);
  }

  /** Connects the watches to this system. */
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
    public void received(List<StoredObject> readObjects, StoreRevision revision, Origin origin) {
      applyRead(readObjects, revision, origin);
    }

    @Override
    public void onOutage() {
      role.requestSubstitute();
    }

    @Override
    public void onSilentConnection() {
      platform.renewConnections();
      watches.forEach(StoreWatch::restart);
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
          .sendRequest(peer, ownDigest(), SYNC_TIMEOUT)
          .map(answer -> ((PeerMessage.Digest) answer).inSync());
    }

    @Override
    public Uni<Void> fetch(Member peer) {
      return exchangeWith(peer);
    }
  }

  private void applyRead(List<StoredObject> received, StoreRevision revision, Origin origin) {
    freshness.recordContact(Duration.ZERO, clock.instant());
    List<StoredObject> updated = objects.mergeAll(received, origin);
    received.forEach(object -> recordIfIgnored(object, origin));
    if (!updated.isEmpty()) {
      logger.atInfo().log("applied %d objects at revision %s %s", updated.size(), revision, origin);
      if (!role.isStarting()) {
        broadcaster.broadcast(updated);
      }
    }
  }

  /** Counts and logs an object of the store whose content differs from the applied one. */
  private void recordIfIgnored(StoredObject stored, Origin origin) {
    Optional<StoredObject> known = objects.join().get(stored.key());
    if (known.isEmpty() || known.get().value().equals(stored.value())) {
      return;
    }
    meters.count("store.ignored." + stored.key().kind());
    logger.atInfo().atMostEvery(IGNORED_OBJECT_LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
        "ignored %s revision=%s, revision=%s is applied %s",
        stored.key(), stored.revision(), known.get().revision(), origin);
  }

  private void exchange(Instant now) {
    if (now.isBefore(nextExchange)) {
      return;
    }
    nextExchange = now.plus(EXCHANGE_INTERVAL);
    startExchange(exchangeWithRandomPeer(membership.zonePeers()));
    membership.parent().ifPresent(parent -> startExchange(exchangeWith(parent)));
    if (role.isReader() || membership.zonePeers().isEmpty()) {
      startExchange(exchangeWithRandomPeer(membership.remotePeers()));
    }
  }

  /** Starts an exchange; if it fails, a later exchange makes up for it. */
  private void startExchange(Uni<Void> exchange) {
    exchange.subscribe().with(unused -> {}, this::handleExchangeFailure);
  }

  private void handleExchangeFailure(Throwable failure) {
    meters.count("retry.peer-digest");
    logger.atInfo().atMostEvery(FAILED_DIGEST_LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
        "comparison of digests failed: %s", failure.getMessage());
  }

  private Uni<Void> exchangeWithRandomPeer(List<Member> peers) {
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
        .sendRequest(peer, ownDigest(), EXCHANGE_TIMEOUT)
        .onItem()
        .transformToUni(answer -> compareDigests(peer, (PeerMessage.Digest) answer));
  }

  private Uni<Void> compareDigests(Member peer, PeerMessage.Digest digest) {
    if (digest.digest() == objects.join().digest()) {
      recordContactAge(digest.contactAge());
      syncedAllFromPeer |= digest.readAll();
      return Uni.createFrom().voidItem();
    }
    long[] own = objects.join().bucketDigests();
    return network
        .sendRequest(peer, new PeerMessage.BucketDigests(own, contactAgeMillis()), EXCHANGE_TIMEOUT)
        .invoke(answer -> mergeDifference(peer, (PeerMessage.Objects) answer))
        .invoke(unused -> syncedAllFromPeer |= digest.readAll())
        .replaceWithVoid();
  }

  private void mergeDifference(Member peer, PeerMessage.Objects objects) {
    recordEpochs(objects.objects());
    List<StoredObject> updated =
        this.objects.mergeAll(objects.objects(), Origin.comparedWith(peer.name()));
    recordContactAge(objects.contactAge());
    if (!updated.isEmpty()) {
      meters.count("configuration.repaired");
      broadcaster.pushToZone(updated);
    }
  }

  /** Records the epochs of objects of a peer, which may reveal a restore of the store. */
  private void recordEpochs(List<StoredObject> objects) {
    objects.forEach(object -> platform.epoch().advanceTo(object.revision().epoch()));
  }

  private List<StoredObject> objectsInDifferingBuckets(long[] digests) {
    long[] own = objects.join().bucketDigests();
    List<StoredObject> differing = new ArrayList<>();
    for (int bucket = 0; bucket < Math.min(own.length, digests.length); bucket++) {
      if (own[bucket] != digests[bucket]) {
        differing.addAll(objects.join().bucket(bucket));
      }
    }
    return differing;
  }

  private PeerMessage.Digest ownDigest() {
    return new PeerMessage.Digest(
        objects.join().digest(), contactAgeMillis(), hasReadAll(), isInSync());
  }

  private long contactAgeMillis() {
    return freshness.age(clock.instant()).map(Duration::toMillis).orElse(-1L);
  }

  /** Records the age of a peer's platform contact; this instance has all objects of the peer. */
  private void recordContactAge(long ageMillis) {
    if (ageMillis >= 0) {
      freshness.recordContact(Duration.ofMillis(ageMillis), clock.instant());
    }
  }
}
