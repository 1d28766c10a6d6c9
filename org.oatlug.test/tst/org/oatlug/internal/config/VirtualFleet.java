// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Kinds;
import org.oatlug.config.Settings;
import org.oatlug.errors.PeerUnavailableException;
import org.oatlug.errors.PlatformUnavailableException;
import org.oatlug.gateway.CallerLimits;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.RoutingConfiguration;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.gateway.GatewayTables;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;
import org.oatlug.internal.table.Freshness;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoreEpoch;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;
import org.oatlug.test.VirtualTime;

/**
 * Simulates instances of several availability zones, their store and the network in virtual time.
 *
 * <p>Runs the real membership and configuration systems; the latency of a message is a few
 * milliseconds, drawn from the seed. Instances may be unresponsive (stopped without notice) or
 * refused by the store, zones may be partitioned, and open connections to the store may go silent;
 * see {@link VirtualStore}. Used from one thread.
 */
final class VirtualFleet {
  /** Interval at which an instance checks for due work. */
  private static final Duration TICK = Duration.ofMillis(100);

  private static final Duration STORE_LATENCY = Duration.ofMillis(4);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final int MAXIMUM_DELAY_MILLIS = 6;

  /** Bound on the time until a change is in force, from which instances derive their watches. */
  private static final Duration PROPAGATION_BOUND = Duration.ofSeconds(2);

  /** Number of seed instances known to a starting instance. */
  private static final int SEED_INSTANCES = 3;

  private static final List<List<String>> UPSTREAMS = List.of(List.of(GatewayKinds.UPSTREAM));

  /** A watch for each kind that routed services use. */
  static final List<List<String>> ALL_KINDS =
      List.of(
          List.of(GatewayKinds.ROUTING),
          List.of(GatewayKinds.UPSTREAM),
          List.of(GatewayKinds.ROLLOUT),
          List.of(GatewayKinds.EVACUATION));

  private final Random random;
  private final List<List<String>> watchGroups;
  private final VirtualTime time = new VirtualTime();
  private final Map<String, Instance> instances = new TreeMap<>();
  private final Map<Integer, Instance> instancesByPort = new TreeMap<>();
  private final VirtualStore store = new VirtualStore();
  private final Set<String> unresponsive = new HashSet<>();
  private final Set<String> refused = new HashSet<>();
  private final Set<String> partitionedZones = new HashSet<>();
  private final Map<String, Instant> writtenAt = new TreeMap<>();
  private final Map<Long, Instant> configuredAt = new TreeMap<>();
  private final List<StoreConnection> openConnections = new ArrayList<>();
  private Duration refusalTime = STORE_LATENCY;
  private Duration responseDelay = Duration.ZERO;
  private int storeCalls;
  private int reverts;
  private long sequence;

  private VirtualFleet(long seed, List<List<String>> watchGroups) {
    this.random = new Random(seed);
    this.watchGroups = watchGroups;
  }

  /** Instance with its view of the platform and the peers. */
  private final class Instance implements Platform, PeerNetwork {
    private final GatewayTables tables = GatewayTables.create(time);
    private final Map<String, Instant> excludedAt = new TreeMap<>();
    private final StoreEpoch knownEpoch = StoreEpoch.create();
    private Deque<StoreConnection> idleConnections = new ArrayDeque<>();
    private final TreeMap<Long, Instant> versionsAppliedAt = new TreeMap<>();
    private long version;
    private boolean stopped;
    private final Membership membership;
    private final ConfigurationSystem configuration;

    Instance(Member self) {
      Random ownRandom = new Random(random.nextLong());
      membership = Membership.create(self, time, ownRandom);
      membership.connect(this);
      Meters meters = Meters.of(new MetricRegistry());
      configuration =
          ConfigurationSystem.create(
              new RecordingSink(),
              Freshness.withBound(Duration.ofSeconds(12)),
              this,
              membership,
              this,
              new ConfigurationSystem.Dependencies(
                  time, ownRandom, meters, watchGroups, PROPAGATION_BOUND));
    }

    /** Records when the tables first exclude an upstream or evacuate a zone. */
    private final class RecordingSink implements ObjectSink {
      @Override
      public List<StoredObject> mergeAll(List<StoredObject> objects, Origin origin) {
        List<StoredObject> updated = tables.mergeAll(objects, origin);
        recordVersion();
        for (StoredObject object : updated) {
          String name = object.key().name();
          boolean upstream = object.key().kind().equals(GatewayKinds.UPSTREAM);
          if (upstream ? tables.isLeaving(name) : tables.evacuatedZones().contains(name)) {
            excludedAt.putIfAbsent(name, time.instant());
          }
        }
        return updated;
      }

      @Override
      public ObjectJoin join() {
        return tables.join();
      }
    }

    private void recordVersion() {
      long applied = tables.configuration().map(RoutingConfiguration::version).orElse(0L);
      reverts += applied < version ? 1 : 0;
      versionsAppliedAt.putIfAbsent(applied, time.instant());
      version = applied;
    }

    private String name() {
      return membership.self().name();
    }

    private void tick() {
      if (stopped) {
        return;
      }
      if (!unresponsive.contains(name())) {
        membership.tick();
        configuration.tick();
      }
      after(TICK, this::tick);
    }

    @Override
    public Uni<PeerMessage> sendRequest(Member peer, PeerMessage message, Duration timeout) {
      // A seed is addressed by its port, as its name is unknown until it responds.
      Instance target = instances.getOrDefault(peer.name(), instancesByPort.get(peer.peerPort()));
      return Uni.createFrom()
          .emitter(
              emitter -> {
                after(timeout, () -> emitter.fail(new PeerUnavailableException(peer.name())));
                if (canReach(target) && !stopped) {
                  after(delay(), () -> target.receive(this, message, emitter));
                }
              });
    }

    private boolean canReach(Instance target) {
      String ownZone = membership.self().zone();
      String targetZone = target.membership.self().zone();
      boolean partitioned =
          !ownZone.equals(targetZone)
              && (partitionedZones.contains(ownZone) || partitionedZones.contains(targetZone));
      return !partitioned
          && !target.stopped
          && !unresponsive.contains(name())
          && !unresponsive.contains(target.name());
    }

    private void receive(
        Instance from, PeerMessage message, UniEmitter<? super PeerMessage> emitter) {
      if (unresponsive.contains(name())) {
        return;
      }
      boolean probe = message instanceof PeerMessage.Ping || message instanceof PeerMessage.PingFor;
      Uni<PeerMessage> response =
          probe
              ? membership.handle(from.membership.self(), message)
              : configuration.handle(from.membership.self(), message);
      response
          .subscribe()
          .with(
              item -> after(delay().plus(responseDelay), () -> emitter.complete(item)),
              failure -> after(delay(), () -> emitter.fail(failure)));
    }

    /** Sends a call on an idle connection of the pool, or on a new one. */
    private <T> Uni<T> call(Duration timeout, Function<UniEmitter<? super T>, Runnable> effect) {
      return Uni.createFrom()
          .emitter(
              emitter -> {
                StoreConnection connection =
                    idleConnections.isEmpty()
                        ? StoreConnection.create(openConnections)
                        : idleConnections.pop();
                send(timeout, connection.guard(emitter, idleConnections), effect);
              });
    }

    private <T> void send(
        Duration timeout,
        UniEmitter<? super T> emitter,
        Function<UniEmitter<? super T>, Runnable> effect) {
      storeCalls++;
      after(timeout, () -> emitter.fail(new PlatformUnavailableException("no response", null)));
      Runnable answer = effect.apply(emitter);
      after(
          refused.contains(name()) ? refusalTime : STORE_LATENCY,
          () -> {
            if (refused.contains(name())) {
              emitter.fail(new PlatformUnavailableException("refused by the store", null));
            } else {
              knownEpoch.advanceTo(store.currentRevision().epoch());
              answer.run();
            }
          });
    }

    @Override
    public void renewConnections() {
      idleConnections = new ArrayDeque<>();
    }

    @Override
    public Uni<Batch> list(List<String> kinds) {
      return call(CALL_TIMEOUT, emitter -> () -> emitter.complete(store.list(kinds)));
    }

    @Override
    public Uni<Batch> watch(List<String> kinds, StoreRevision since, Duration wait) {
      return call(
          wait.plus(CALL_TIMEOUT),
          emitter -> () -> answerWatch(kinds, since.number(), wait, emitter));
    }

    private void answerWatch(
        List<String> kinds, long since, Duration wait, UniEmitter<? super Batch> emitter) {
      Runnable answer =
          () -> {
            if (refused.contains(name())) {
              emitter.fail(new PlatformUnavailableException("refused by the store", null));
            } else {
              knownEpoch.advanceTo(store.currentRevision().epoch());
              emitter.complete(store.changesAfter(kinds, since));
            }
          };
      if (since > store.currentRevision().number()) {
        emitter.fail(new PlatformUnavailableException("no such revision", null));
        return;
      }
      if (store.currentRevision().number() > since) {
        answer.run();
        return;
      }
      store.keepOpen(new VirtualStore.Watch(name(), kinds, () -> after(delay(), answer)));
      after(wait, answer);
    }

    @Override
    public Uni<Optional<StoredObject>> get(ObjectKey key) {
      throw new UnsupportedOperationException();
    }

    @Override
    public StoreEpoch epoch() {
      return knownEpoch;
    }

    @Override
    public Uni<StoreRevision> put(ObjectKey key, StoreRevision expected, JsonNode value) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Uni<List<ListedInstance>> instances() {
      return Uni.createFrom().item(List.of());
    }
  }

  /** Starts instances that know each other and watch upstreams. */
  static VirtualFleet of(int zones, int instancesPerZone, long seed) {
    return of(zones, instancesPerZone, seed, UPSTREAMS);
  }

  /** Starts instances that know each other and watch the given groups of kinds. */
  static VirtualFleet of(
      int zones, int instancesPerZone, long seed, List<List<String>> watchGroups) {
    VirtualFleet fleet = new VirtualFleet(seed, watchGroups);
    List<Member> members = fleet.createInstances(zones, instancesPerZone);
    for (Instance instance : fleet.instances.values()) {
      members.forEach(instance.membership::merge);
      fleet.after(fleet.randomDuration(TICK), instance::tick);
    }
    return fleet;
  }

  /** Starts all instances within the window; each initially knows only a few seeds. */
  static VirtualFleet starting(int zones, int instancesPerZone, Duration startWindow, long seed) {
    VirtualFleet fleet = new VirtualFleet(seed, UPSTREAMS);
    List<Member> members = fleet.createInstances(zones, instancesPerZone);
    List<Settings.Address> seeds =
        members.stream()
            .filter(member -> member.peerPort() % instancesPerZone == 1)
            .limit(SEED_INSTANCES)
            .map(member -> new Settings.Address(member.host(), member.peerPort()))
            .toList();
    for (Instance instance : fleet.instances.values()) {
      instance.membership.seeds(seeds);
      fleet.after(fleet.randomDuration(startWindow), instance::tick);
    }
    return fleet;
  }

  private List<Member> createInstances(int zones, int instancesPerZone) {
    List<Member> members = new ArrayList<>();
    for (int zone = 0; zone < zones; zone++) {
      for (int number = 0; number < instancesPerZone; number++) {
        String name = "entry-" + zone + "-" + Integer.toHexString(random.nextInt());
        int port = members.size() + 1;
        members.add(
            new Member(name, "zone-" + zone, name, "127.0.0.1", port, 1, 0, Member.State.ALIVE));
      }
    }
    for (Member member : members) {
      Instance instance = new Instance(member);
      instances.put(member.name(), instance);
      instancesByPort.put(member.peerPort(), instance);
    }
    return members;
  }

  /** Returns the number of store calls of all instances. */
  int storeCalls() {
    return storeCalls;
  }

  /** Returns the names of the instances that do not know a live upstream. */
  List<String> instancesWithout(String upstream) {
    return instances.values().stream()
        .filter(instance -> instance.tables.upstream(upstream).isEmpty())
        .map(Instance::name)
        .toList();
  }

  private Duration delay() {
    return Duration.ofMillis(1 + random.nextInt(MAXIMUM_DELAY_MILLIS));
  }

  /** Returns a random duration below {@code maximum}. */
  Duration randomDuration(Duration maximum) {
    return Duration.ofMillis(random.nextInt((int) maximum.toMillis()));
  }

  private void after(Duration wait, Runnable action) {
    time.after(wait, action);
  }

  /** Advances the virtual time. */
  void run(Duration duration) {
    time.run(duration);
  }

  VirtualStore store() {
    return store;
  }

  /** Writes a configuration. */
  void configure(long version) {
    RoutingConfiguration configuration =
        new RoutingConfiguration(
            version, List.of(), List.of(), CallerLimits.DEFAULT, Optional.empty());
    ObjectKey key = ObjectKey.valueOf(GatewayKinds.ROUTING, "main");
    configuredAt.put(version, time.instant());
    store.change(key, Json.STRICT.valueToTree(configuration));
  }

  /**
   * Returns the time from the write of each configuration up to the given one until an instance
   * applied it or a later one, for each instance except the lost ones.
   */
  List<Duration> configurationDelays(List<String> lost, long last) {
    List<Duration> delays = new ArrayList<>();
    for (Instance instance : instances.values()) {
      for (long version = 1; version <= last && !lost.contains(instance.name()); version++) {
        Instant appliedAt =
            instance.versionsAppliedAt.tailMap(version).values().stream()
                .min(Comparator.naturalOrder())
                .orElse(time.instant().plus(Duration.ofHours(1)));
        delays.add(Duration.between(configuredAt.get(version), appliedAt));
      }
    }
    return delays;
  }

  /** Returns by instance the version of the applied configuration. */
  Map<String, Long> versions() {
    Map<String, Long> versions = new TreeMap<>();
    instances.forEach((name, instance) -> versions.put(name, instance.version));
    return versions;
  }

  /** Returns how often an instance reverted to an older configuration. */
  int reverts() {
    return reverts;
  }

  /** Returns by instance the known entry of an upstream. */
  Map<String, Optional<UpstreamRecord>> knownOf(String upstream) {
    Map<String, Optional<UpstreamRecord>> known = new TreeMap<>();
    instances.forEach((name, instance) -> known.put(name, instance.tables.upstream(upstream)));
    return known;
  }

  /** Returns the number of distinct digests over all objects; one if the instances agree. */
  long distinctDigests() {
    return instances.values().stream()
        .mapToLong(instance -> instance.tables.join().digest())
        .distinct()
        .count();
  }

  /** Restarts an instance, which then knows only the addresses of the others. */
  void restart(String name) {
    Instance stoppedInstance = instances.get(name);
    stoppedInstance.stopped = true;
    Member self = stoppedInstance.membership.self();
    Instance restarted = new Instance(self.withEpoch(time.instant().toEpochMilli()));
    restarted.membership.seeds(
        instancesByPort.values().stream()
            .map(instance -> instance.membership.self())
            .map(member -> new Settings.Address(member.host(), member.peerPort()))
            .toList());
    instances.put(name, restarted);
    instancesByPort.put(self.peerPort(), restarted);
    restarted.tick();
  }

  /** Returns whether an instance would serve requests. */
  boolean serves(String name) {
    ConfigurationSystem configuration = instances.get(name).configuration;
    return configuration.hasReadAll() && configuration.isInSync();
  }

  /**
   * Advances the virtual time by steps until an instance would serve, or the maximum has passed.
   */
  void runUntilServing(String name, Duration maximum, Duration step) {
    Instant end = time.instant().plus(maximum);
    while (!serves(name) && time.instant().isBefore(end)) {
      run(step);
    }
  }

  /** Sets the additional time that each response between instances takes from now on. */
  void delayResponses(Duration delay) {
    responseDelay = delay;
  }

  /** Ends all partitions between zones. */
  void healPartitions() {
    partitionedZones.clear();
  }

  /** Writes the entry of an upstream. */
  void register(String upstream, boolean leaving) {
    sequence++;
    UpstreamRecord entry =
        UpstreamRecord.of("pool", "127.0.0.1", 1, "zone-0", "v1", 4, leaving)
            .withSequence(sequence);
    if (leaving) {
      writtenAt.put(upstream, time.instant());
    }
    store.change(
        ObjectKey.valueOf(GatewayKinds.UPSTREAM, upstream), Json.STRICT.valueToTree(entry));
  }

  /** Writes the evacuation of a zone. */
  void evacuate(String zone) {
    writtenAt.put(zone, time.instant());
    store.change(ObjectKey.valueOf(GatewayKinds.EVACUATION, zone), Json.STRICT.createObjectNode());
  }

  /** Deletes the evacuation of a zone. */
  void endEvacuation(String zone) {
    store.change(ObjectKey.valueOf(GatewayKinds.EVACUATION, zone), Kinds.tombstone());
  }

  /** Returns the instances that treat a zone as evacuated. */
  List<String> instancesEvacuating(String zone) {
    return instances.values().stream()
        .filter(instance -> instance.tables.evacuatedZones().contains(zone))
        .map(Instance::name)
        .toList();
  }

  /** Removes the entry of an upstream that did not announce its departure. */
  void remove(String upstream) {
    writtenAt.put(upstream, time.instant());
    deleteEntry(upstream);
  }

  private void deleteEntry(String upstream) {
    ObjectKey key = ObjectKey.valueOf(GatewayKinds.UPSTREAM, upstream);
    store.change(key, UpstreamRecord.tombstoneOf(store.get(key).value()));
  }

  /** Returns the names of the readers of a zone. */
  List<String> readersOf(String zone) {
    return namesIn(zone).stream()
        .filter(name -> instances.get(name).membership.isReader())
        .toList();
  }

  /** Returns the name of the first reader of a zone. */
  String firstReaderOf(String zone) {
    return namesIn(zone).stream()
        .filter(name -> instances.get(name).membership.isFirstReader())
        .findFirst()
        .orElseThrow();
  }

  /** Returns the names of the instances of a zone. */
  List<String> namesIn(String zone) {
    return instances.keySet().stream()
        .filter(name -> instances.get(name).membership.self().zone().equals(zone))
        .toList();
  }

  /** Makes the store refuse calls of instances from now on; open watches fail. */
  void refuseCalls(List<String> names) {
    refused.addAll(names);
    store.answerWatches();
  }

  /** Makes the store delay each refusal by one second, the timeout of a call. */
  void delayRefusals() {
    refusalTime = CALL_TIMEOUT;
  }

  /** Makes the store accept calls of all instances again. */
  void endRefusals() {
    refused.clear();
  }

  /** Makes all open connections to the store silent for good; new ones work. */
  void silenceStoreConnections() {
    openConnections.forEach(StoreConnection::silence);
    openConnections.clear();
  }

  /** Removes the entry of a live upstream, as when it cannot renew the entry in time. */
  void expireEntry(String upstream) {
    deleteEntry(upstream);
  }

  /** Returns the instances that ever treated the upstream as leaving or removed. */
  List<String> instancesThatExcluded(String upstream) {
    return instances.values().stream()
        .filter(instance -> instance.excludedAt.containsKey(upstream))
        .map(Instance::name)
        .toList();
  }

  /** Returns the names of all instances. */
  List<String> names() {
    return List.copyOf(instances.keySet());
  }

  /** Makes instances unresponsive without notice to the others. */
  void makeUnresponsive(List<String> names) {
    unresponsive.addAll(names);
  }

  /** Partitions a zone from the others. */
  void partition(String zone) {
    partitionedZones.add(zone);
  }

  /**
   * Returns by instance the time from the write of the departure of an upstream, or of the
   * evacuation of a zone, until the instance applied it; over an hour if it has not.
   */
  Map<String, Duration> propagationDelays(String name) {
    Map<String, Duration> delays = new TreeMap<>();
    for (Instance instance : instances.values()) {
      if (!unresponsive.contains(instance.name())) {
        Instant appliedAt =
            instance.excludedAt.getOrDefault(name, time.instant().plus(Duration.ofHours(1)));
        delays.put(instance.name(), Duration.between(writtenAt.get(name), appliedAt));
      }
    }
    return delays;
  }
}
