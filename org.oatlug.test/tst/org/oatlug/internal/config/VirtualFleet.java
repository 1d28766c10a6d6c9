// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
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
 * Instances of some availability zones, their store and the ways between them in virtual time.
 *
 * <p>Runs the real membership and configuration systems; a message takes some milliseconds, drawn
 * from the seed. Instances may be silent (stopped without anybody knowing), turned away by the
 * store, and zones cut off from each other; see {@link VirtualStore}. Used from one thread.
 */
final class VirtualFleet {
  /** How often an instance looks whether something is due. */
  private static final Duration TICK = Duration.ofMillis(100);

  private static final Duration LIST_TIME = Duration.ofMillis(4);
  private static final Duration CALL_TIME = Duration.ofSeconds(1);
  private static final int MOST_DELAY_MILLIS = 6;

  /** How many instances a starting one is told of. */
  private static final int SEEDS = 3;

  private static final List<List<String>> UPSTREAMS = List.of(List.of(GatewayKinds.UPSTREAM));

  /** A watch for each kind that routed services read. */
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
  private final Map<Integer, Instance> byPort = new TreeMap<>();
  private final VirtualStore store = new VirtualStore();
  private final Set<String> silent = new HashSet<>();
  private final Set<String> turnedAway = new HashSet<>();
  private final Set<String> cutZones = new HashSet<>();
  private final Map<String, Instant> acknowledged = new TreeMap<>();
  private Duration refusalTime = LIST_TIME;
  private int storeCalls;
  private int reverts;
  private long sequence;

  private VirtualFleet(long seed, List<List<String>> watchGroups) {
    this.random = new Random(seed);
    this.watchGroups = watchGroups;
  }

  /** One instance. */
  private final class Instance implements Platform, PeerNetwork {
    private final GatewayTables tables = GatewayTables.create(time);
    private final Map<String, Instant> learned = new TreeMap<>();
    private final StoreEpoch epochHeard = StoreEpoch.create();
    private long version;
    private boolean stopped;
    private final Membership membership;
    private final ConfigurationSystem configuration;

    Instance(Member self) {
      Random own = new Random(random.nextLong());
      membership = Membership.create(self, time, own);
      membership.connect(this);
      Meters meters = Meters.of(new MetricRegistry());
      configuration =
          ConfigurationSystem.create(
              new Noted(),
              Freshness.withBound(Duration.ofSeconds(12)),
              this,
              membership,
              this,
              new ConfigurationSystem.Support(time, own, meters, watchGroups));
    }

    /** The tables, with the moment at which an upstream was first known to leave. */
    private final class Noted implements ObjectSink {
      @Override
      public List<StoredObject> mergeAll(List<StoredObject> objects, Origin origin) {
        List<StoredObject> fresh = tables.mergeAll(objects, origin);
        noteVersion();
        for (StoredObject object : fresh) {
          String name = object.key().name();
          boolean upstream = object.key().kind().equals(GatewayKinds.UPSTREAM);
          if (upstream ? tables.isLeaving(name) : tables.emptiedZones().contains(name)) {
            learned.putIfAbsent(name, time.instant());
          }
        }
        return fresh;
      }

      @Override
      public ObjectJoin join() {
        return tables.join();
      }
    }

    private void noteVersion() {
      long inForce = tables.configuration().map(RoutingConfiguration::version).orElse(0L);
      reverts += inForce < version ? 1 : 0;
      version = inForce;
    }

    private String name() {
      return membership.self().name();
    }

    private void tick() {
      if (stopped) {
        return;
      }
      if (!silent.contains(name())) {
        membership.tick();
        configuration.tick();
      }
      after(TICK, this::tick);
    }

    @Override
    public Uni<PeerMessage> ask(Member peer, PeerMessage message, Duration patience) {
      // A seed is asked by its address; its name is not known before it answers.
      Instance target = instances.getOrDefault(peer.name(), byPort.get(peer.peerPort()));
      return Uni.createFrom()
          .emitter(
              emitter -> {
                after(patience, () -> emitter.fail(new PeerUnavailableException(peer.name())));
                if (reaches(target) && !stopped) {
                  after(delay(), () -> target.receive(this, message, emitter));
                }
              });
    }

    private boolean reaches(Instance target) {
      String own = membership.self().zone();
      String other = target.membership.self().zone();
      boolean cut = !own.equals(other) && (cutZones.contains(own) || cutZones.contains(other));
      return !cut && !target.stopped && !silent.contains(name()) && !silent.contains(target.name());
    }

    private void receive(
        Instance from, PeerMessage message, UniEmitter<? super PeerMessage> emitter) {
      if (silent.contains(name())) {
        return;
      }
      boolean probe = message instanceof PeerMessage.Ping || message instanceof PeerMessage.PingFor;
      Uni<PeerMessage> answer =
          probe
              ? membership.handle(from.membership.self(), message)
              : configuration.handle(from.membership.self(), message);
      answer
          .subscribe()
          .with(
              item -> after(delay(), () -> emitter.complete(item)),
              failure -> after(delay(), () -> emitter.fail(failure)));
    }

    private <T> Uni<T> call(Function<UniEmitter<? super T>, Runnable> effect) {
      return Uni.createFrom()
          .emitter(
              emitter -> {
                storeCalls++;
                Runnable answer = effect.apply(emitter);
                after(
                    turnedAway.contains(name()) ? refusalTime : LIST_TIME,
                    () -> {
                      if (turnedAway.contains(name())) {
                        emitter.fail(new PlatformUnavailableException("turned away", null));
                      } else {
                        epochHeard.note(store.now().epoch());
                        answer.run();
                      }
                    });
              });
    }

    @Override
    public Uni<Batch> list(List<String> kinds) {
      return call(emitter -> () -> emitter.complete(store.list(kinds)));
    }

    @Override
    public Uni<Batch> watch(List<String> kinds, StoreRevision since, Duration wait) {
      return call(emitter -> () -> answerWatch(kinds, since.number(), wait, emitter));
    }

    private void answerWatch(
        List<String> kinds, long since, Duration wait, UniEmitter<? super Batch> emitter) {
      Runnable answer =
          () -> {
            if (turnedAway.contains(name())) {
              emitter.fail(new PlatformUnavailableException("turned away", null));
            } else {
              epochHeard.note(store.now().epoch());
              emitter.complete(store.changesAfter(kinds, since));
            }
          };
      if (since > store.now().number()) {
        emitter.fail(new PlatformUnavailableException("no such revision", null));
        return;
      }
      if (store.now().number() > since) {
        answer.run();
        return;
      }
      store.hold(new VirtualStore.Watch(name(), kinds, () -> after(delay(), answer)));
      after(wait, answer);
    }

    @Override
    public Uni<Optional<StoredObject>> get(ObjectKey key) {
      throw new UnsupportedOperationException();
    }

    @Override
    public StoreEpoch epoch() {
      return epochHeard;
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

  /** Starts instances that know each other and watch the upstreams. */
  static VirtualFleet of(int zones, int instancesPerZone, long seed) {
    return of(zones, instancesPerZone, seed, UPSTREAMS);
  }

  /** Starts instances that know each other and watch groups of kinds. */
  static VirtualFleet of(
      int zones, int instancesPerZone, long seed, List<List<String>> watchGroups) {
    VirtualFleet fleet = new VirtualFleet(seed, watchGroups);
    List<Member> members = fleet.createInstances(zones, instancesPerZone);
    for (Instance instance : fleet.instances.values()) {
      members.forEach(instance.membership::merge);
      fleet.after(fleet.within(TICK), instance::tick);
    }
    return fleet;
  }

  /** Starts all instances within the time; each knows a few seeds and nobody else. */
  static VirtualFleet starting(int zones, int instancesPerZone, Duration within, long seed) {
    VirtualFleet fleet = new VirtualFleet(seed, UPSTREAMS);
    List<Member> members = fleet.createInstances(zones, instancesPerZone);
    List<Settings.Address> seeds =
        members.stream()
            .filter(member -> member.peerPort() % instancesPerZone == 1)
            .limit(SEEDS)
            .map(member -> new Settings.Address(member.host(), member.peerPort()))
            .toList();
    for (Instance instance : fleet.instances.values()) {
      instance.membership.seeds(seeds);
      fleet.after(fleet.within(within), instance::tick);
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
      byPort.put(member.peerPort(), instance);
    }
    return members;
  }

  /** Returns how many calls the store got from all instances. */
  int storeCalls() {
    return storeCalls;
  }

  /** Returns the names of the instances that do not know of an upstream that lives. */
  List<String> whoMisses(String upstream) {
    return instances.values().stream()
        .filter(instance -> instance.tables.upstream(upstream).isEmpty())
        .map(Instance::name)
        .toList();
  }

  private Duration delay() {
    return Duration.ofMillis(1 + random.nextInt(MOST_DELAY_MILLIS));
  }

  /** Returns a time up to {@code longest}. */
  Duration within(Duration longest) {
    return Duration.ofMillis(random.nextInt((int) longest.toMillis()));
  }

  private void after(Duration wait, Runnable action) {
    time.after(wait, action);
  }

  /** Lets the time pass. */
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
    store.change(key, Json.STRICT.valueToTree(configuration));
  }

  /** Returns by instance the version of the configuration that is in force. */
  Map<String, Long> versions() {
    Map<String, Long> versions = new TreeMap<>();
    instances.forEach((name, instance) -> versions.put(name, instance.version));
    return versions;
  }

  /** Returns how often an instance went back to an older configuration. */
  int reverts() {
    return reverts;
  }

  /** Returns by instance what it knows of an upstream. */
  Map<String, Optional<UpstreamRecord>> knownOf(String upstream) {
    Map<String, Optional<UpstreamRecord>> known = new TreeMap<>();
    instances.forEach((name, instance) -> known.put(name, instance.tables.upstream(upstream)));
    return known;
  }

  /** Returns how many digests over all objects the instances have; one if they agree. */
  long digests() {
    return instances.values().stream()
        .mapToLong(instance -> instance.tables.join().digest())
        .distinct()
        .count();
  }

  /** Starts an instance anew, which knows nothing but addresses of others. */
  void restart(String name) {
    Instance before = instances.get(name);
    before.stopped = true;
    Member self = before.membership.self();
    Instance after = new Instance(self.withEpoch(time.instant().toEpochMilli()));
    after.membership.seeds(
        byPort.values().stream()
            .map(instance -> instance.membership.self())
            .map(member -> new Settings.Address(member.host(), member.peerPort()))
            .toList());
    instances.put(name, after);
    byPort.put(self.peerPort(), after);
    after.tick();
  }

  /** Returns whether an instance would serve. */
  boolean serves(String name) {
    ConfigurationSystem configuration = instances.get(name).configuration;
    return configuration.hasReadAll() && configuration.isInSync();
  }

  /** Lets the zones reach each other again. */
  void heal() {
    cutZones.clear();
  }

  /** Writes the entry of an upstream. */
  void register(String upstream, boolean leaving) {
    sequence++;
    UpstreamRecord entry =
        UpstreamRecord.of("pool", "127.0.0.1", 1, "zone-0", "v1", 4, leaving)
            .withSequence(sequence);
    if (leaving) {
      acknowledged.put(upstream, time.instant());
    }
    store.change(
        ObjectKey.valueOf(GatewayKinds.UPSTREAM, upstream), Json.STRICT.valueToTree(entry));
  }

  /** Writes the order to empty a zone. */
  void empty(String zone) {
    acknowledged.put(zone, time.instant());
    store.change(ObjectKey.valueOf(GatewayKinds.EVACUATION, zone), Json.STRICT.createObjectNode());
  }

  /** Takes the order to empty a zone back. */
  void takeZoneBack(String zone) {
    store.change(ObjectKey.valueOf(GatewayKinds.EVACUATION, zone), Kinds.tombstone());
  }

  /** Returns the instances that send nothing to the upstreams of a zone. */
  List<String> whoKeepsEmpty(String zone) {
    return instances.values().stream()
        .filter(instance -> instance.tables.emptiedZones().contains(zone))
        .map(Instance::name)
        .toList();
  }

  /** Removes the entry of an upstream that never said that it leaves. */
  void remove(String upstream) {
    acknowledged.put(upstream, time.instant());
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

  /** Returns the names of the instances of a zone. */
  List<String> namesIn(String zone) {
    return instances.keySet().stream()
        .filter(name -> instances.get(name).membership.self().zone().equals(zone))
        .toList();
  }

  /** Lets the store turn instances away from now on; watches that wait are cut. */
  void turnAway(List<String> names) {
    turnedAway.addAll(names);
    store.answerWatches();
  }

  /** Lets the store keep those whom it turns away waiting until they give up, for a second. */
  void refuseSilently() {
    refusalTime = CALL_TIME;
  }

  /** Lets the store answer all instances again. */
  void takeBack() {
    turnedAway.clear();
  }

  /** Removes the entry of an upstream that lives, as when it cannot write for too long. */
  void lapse(String upstream) {
    deleteEntry(upstream);
  }

  /** Returns the instances that ever took the upstream to leave or to be gone. */
  List<String> whoGaveUp(String upstream) {
    return instances.values().stream()
        .filter(instance -> instance.learned.containsKey(upstream))
        .map(Instance::name)
        .toList();
  }

  /** Returns the names of all instances. */
  List<String> names() {
    return List.copyOf(instances.keySet());
  }

  /** Stops instances; nobody is told. */
  void silence(List<String> names) {
    silent.addAll(names);
  }

  /** Cuts a zone off from the others. */
  void cutOff(String zone) {
    cutZones.add(zone);
  }

  /** Returns by instance how long after the store it knew that the upstream leaves. */
  Map<String, Duration> delaysOf(String upstream) {
    Map<String, Duration> delays = new TreeMap<>();
    for (Instance instance : instances.values()) {
      if (!silent.contains(instance.name())) {
        Instant when =
            instance.learned.getOrDefault(upstream, time.instant().plus(Duration.ofHours(1)));
        delays.put(instance.name(), Duration.between(acknowledged.get(upstream), when));
      }
    }
    return delays;
  }
}
