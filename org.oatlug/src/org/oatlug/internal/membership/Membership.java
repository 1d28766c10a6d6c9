// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.membership;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.oatlug.config.Settings;
import org.oatlug.errors.PeerUnavailableException;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;
import org.oatlug.internal.util.Hashes;
import org.oatlug.internal.util.TimeoutRule;
import org.oatlug.platform.Platform;

/**
 * Detects which entry instances are live.
 *
 * <p>Instances of one availability zone probe each other, first directly and then through helpers,
 * and suspect an instance before they declare it dead; one that is leaving is declared dead without
 * suspicion. An instance never suspects one of another zone by its own probes, because a network
 * partition looks the same; that one only counts as unreachable for a while. A received suspicion
 * times out regardless of the zone. Records are merged by epoch, incarnation and state, so outdated
 * records have no effect. An instance that receives a suspicion of itself refutes it. Owned by one
 * event loop, not thread-safe.
 */
public final class Membership {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);

  /** The interval of probes to seeds while no other instance is known. */
  private static final Duration SEED_INTERVAL_ALONE = Duration.ofMillis(200);

  /** The interval of probes to seeds otherwise, which rejoin separated groups of instances. */
  private static final Duration SEED_INTERVAL = Duration.ofSeconds(5);

  private static final Duration SUSPICION_TIMEOUT = Duration.ofMillis(2000);
  private static final Duration UNREACHABLE_FOR = Duration.ofSeconds(3);

  /** The time for which a process is probed after {@link #isUnresponsiveOrGone} was called. */
  private static final Duration WATCHED_FOR = Duration.ofSeconds(5);

  /** The time without a response after which a process counts as lost. */
  private static final Duration LOST_AFTER = Duration.ofSeconds(8);

  private static final int MAXIMUM_HELPERS = 2;

  /** The number of messages that carry each changed record. */
  private static final int SENDS_PER_UPDATE = 8;

  private static final int UPDATES_PER_MESSAGE = 8;

  /** The number of instances in each availability zone that read the store for the others. */
  private static final int READERS = 2;

  /** The maximum children of an instance in the tree that distributes what the readers read. */
  private static final int CHILDREN_PER_PARENT = 4;

  private final InstantSource clock;
  private final RandomGenerator random;
  private final Map<String, Member> members = new TreeMap<>();
  private final Map<String, Suspicion> suspectedSince = new HashMap<>();
  private final Map<String, Instant> unreachableUntil = new HashMap<>();
  private final Map<String, Instant> unresponsiveSince = new HashMap<>();
  private final Map<String, Instant> watchedUntil = new HashMap<>();
  private final Map<String, Integer> remainingSends = new HashMap<>();
  private final List<String> probeOrder = new ArrayList<>();
  private final List<Settings.Address> seeds = new ArrayList<>();
  private final PredecessorProbes predecessorProbes = PredecessorProbes.create(this::ping);
  private Member self;
  private Optional<MemberView> view = Optional.empty();
  private PeerNetwork network;
  private TimeoutRule timeouts = TimeoutRule.ALWAYS;
  private Instant nextSeed = Instant.EPOCH;
  private Instant nextProbe = Instant.EPOCH;

  /** The start of a suspicion, and whether its timeout is evidence once it has passed. */
  private record Suspicion(Instant since, BooleanSupplier counts) {}

  private Membership(Member self, InstantSource clock, RandomGenerator random) {
    this.self = self;
    this.clock = clock;
    this.random = random;
    put(self);
  }

  /**
   * Returns a membership that knows only this instance.
   *
   * @param self the record of this instance
   */
  public static Membership create(Member self, InstantSource clock, RandomGenerator random) {
    return new Membership(self, clock, random);
  }

  /** Sets the network to the other instances; called once, before the first tick. */
  public void connect(PeerNetwork peers) {
    network = peers;
  }

  /**
   * Sets the rule by which a suspicion that was not refuted in time is evidence. That of requests
   * is applied by the network, whose failures tell whether they are evidence.
   */
  public void useTimeoutRule(TimeoutRule rule) {
    timeouts = rule;
  }

  /** Returns the record of this instance. */
  public Member self() {
    return self;
  }

  /** Returns whether the record describes this instance. */
  public boolean isSelf(Member member) {
    return member.name().equals(self.name());
  }

  /** Adds listed instances that are unknown; the list may be outdated and marks none as dead. */
  public void mergeListed(List<Platform.ListedInstance> instances) {
    for (Platform.ListedInstance instance : instances) {
      if (!members.containsKey(instance.name())) {
        merge(
            new Member(
                instance.name(),
                instance.zone(),
                instance.rack(),
                instance.host(),
                instance.peerPort(),
                0,
                0,
                Member.State.ALIVE));
      }
    }
  }

  /** Sets the seed addresses at which other instances are probed. */
  public void seeds(List<Settings.Address> addresses) {
    seeds.clear();
    seeds.addAll(addresses);
  }

  /** Returns whether any other instance is known, by its record or only by a seed address. */
  public boolean hasKnownPeers() {
    return live().size() > 1 || seeds.stream().anyMatch(seed -> !isOwn(seed));
  }

  /** Returns the other instances with an address: the live ones and unknown seeds. */
  public List<Member> addressablePeers() {
    List<Member> peers = new ArrayList<>(live());
    peers.removeIf(this::isSelf);
    for (Settings.Address seed : seeds) {
      boolean isKnown =
          peers.stream()
              .anyMatch(peer -> peer.host().equals(seed.host()) && peer.peerPort() == seed.port());
      if (!isOwn(seed) && !isKnown) {
        peers.add(seedAt(seed));
      }
    }
    return peers;
  }

  /** Returns a record of a seed, whose name is unknown until it responds. */
  private static Member seedAt(Settings.Address address) {
    return new Member(
        address.toString(), "", "", address.host(), address.port(), 0, 0, Member.State.ALIVE);
  }

  private boolean isOwn(Settings.Address address) {
    return address.host().equals(self.host()) && address.port() == self.peerPort();
  }

  /** Merges a received record of a member. */
  public void merge(Member received) {
    if (received.name().equals(self.name())) {
      refute(received);
      return;
    }
    Member known = members.get(received.name());
    if (known != null && !received.supersedes(known)) {
      return;
    }
    put(received);
    if (received.state() == Member.State.SUSPECT) {
      suspectedSince.putIfAbsent(received.name(), newSuspicion());
    } else {
      suspectedSince.remove(received.name());
    }
    if (known == null || known.state() != received.state()) {
      logger.atInfo().log("instance %s is %s", received.process(), received.state());
    }
  }

  /** Announces that this instance is leaving. */
  public void leave() {
    self = self.withState(Member.State.LEAVING);
    put(self);
  }

  /** Returns all records. */
  public Collection<Member> all() {
    return members.values();
  }

  /** Returns the instances that are not known to be dead, including this one. */
  public List<Member> live() {
    return view().live();
  }

  /** Returns the other live instances of this availability zone. */
  public List<Member> zonePeers() {
    return view().zonePeers();
  }

  /** Returns the live instances of other availability zones. */
  public List<Member> remotePeers() {
    return view().remotePeers();
  }

  /** Returns whether the process, given as name and epoch, is known to be dead or replaced. */
  public boolean isGone(String process) {
    int separator = process.lastIndexOf('@');
    Member known = members.get(process.substring(0, Math.max(separator, 0)));
    if (known == null) {
      return false;
    }
    boolean replaced = known.epoch() > 0 && !known.process().equals(process);
    return replaced || known.state() == Member.State.DEAD;
  }

  /**
   * Returns whether the process is gone or has been unresponsive for long, as a process of another
   * zone may be without being suspected.
   *
   * <p>A call makes this instance probe a process of another zone for a while. A process behind a
   * network partition counts as lost, too, so the handling of a lost process must be safe if it
   * still runs.
   */
  public boolean isUnresponsiveOrGone(String process) {
    if (isGone(process)) {
      return true;
    }
    String name = process.substring(0, Math.max(process.lastIndexOf('@'), 0));
    Instant now = clock.instant();
    watchedUntil.put(name, now.plus(WATCHED_FOR));
    Instant unresponsive = unresponsiveSince.get(name);
    return unresponsive != null && now.isAfter(unresponsive.plus(LOST_AFTER));
  }

  /**
   * Returns whether this instance is one of the readers of its availability zone: one of the first
   * by rank of those that respond. Instances that disagree on that read in addition.
   */
  public boolean isReader() {
    return view().readerRank().contains(self.name()) && responsivePredecessors() < READERS;
  }

  /** Returns whether this instance is the first reader; the other readers are its standbys. */
  public boolean isFirstReader() {
    return view().readerRank().contains(self.name()) && responsivePredecessors() == 0;
  }

  private long responsivePredecessors() {
    return predecessors().stream()
        .filter(member -> member.state() == Member.State.ALIVE)
        .filter(this::isReachable)
        .count();
  }

  /** Returns the instances before this one in the rank of the readers of its zone. */
  private List<Member> predecessors() {
    List<String> ranked = view().readerRank();
    int rank = Math.max(0, ranked.indexOf(self.name()));
    return ranked.subList(0, rank).stream().map(members::get).toList();
  }

  /**
   * Returns the instances that may read in place of this one: the non-readers of the zone by rank,
   * rotated by the rank of this instance so that each reader starts with a different one.
   */
  public List<Member> substituteReaders() {
    List<String> ranked = view().readerRank();
    List<Member> substitutes =
        new ArrayList<>(ranked.stream().skip(READERS).map(members::get).toList());
    substitutes.removeIf(this::isSelf);
    if (substitutes.size() > 1) {
      Collections.rotate(substitutes, -(ranked.indexOf(self.name()) % substitutes.size()));
    }
    return substitutes;
  }

  /**
   * Returns the parent in the distribution tree rooted at the readers, empty for a reader or if
   * this instance is leaving.
   */
  public Optional<Member> parent() {
    List<String> ranked = view().readerRank();
    int rank = ranked.indexOf(self.name());
    if (rank < READERS) {
      return Optional.empty();
    }
    return Optional.of(members.get(ranked.get((rank - READERS) / CHILDREN_PER_PARENT)));
  }

  /** Returns the reachable instance that is first by rendezvous rank for a resource. */
  public Optional<Member> ownerOf(String resource) {
    List<String> names =
        live().stream()
            .filter(member -> member.state() == Member.State.ALIVE && member.epoch() > 0)
            .filter(this::isReachable)
            .map(Member::name)
            .toList();
    return Hashes.rendezvous(resource, names).stream().findFirst().map(members::get);
  }

  /** Records that an instance did not respond, which excludes it as an owner for a while. */
  public void markUnreachable(Member member) {
    unreachableUntil.put(member.name(), clock.instant().plus(UNREACHABLE_FOR));
    unresponsiveSince.putIfAbsent(member.name(), clock.instant());
  }

  /** Returns whether the instance has not recently failed to respond. */
  public boolean isReachable(Member member) {
    Instant excludedUntil = unreachableUntil.getOrDefault(member.name(), Instant.EPOCH);
    return !clock.instant().isBefore(excludedUntil);
  }

  /** Responds to the probes of other instances. */
  public Uni<PeerMessage> handle(Member from, PeerMessage message) {
    merge(from);
    if (message instanceof PeerMessage.Ping ping) {
      ping.updates().forEach(this::merge);
      return Uni.createFrom().item(new PeerMessage.Ack(updatesFor(from)));
    }
    PeerMessage.PingFor request = (PeerMessage.PingFor) message;
    request.updates().forEach(this::merge);
    Member target = members.get(request.target());
    if (target == null) {
      return Uni.createFrom().item(new PeerMessage.Failed("unknown instance"));
    }
    return ping(target);
  }

  /** Probes the next instance and declares instances dead whose suspicion timed out. */
  public void tick() {
    Instant now = clock.instant();
    expireSuspicions(now);
    probeSeed(now);
    if (now.isBefore(nextProbe)) {
      return;
    }
    nextProbe = now.plus(PROBE_INTERVAL);
    nextTarget().ifPresent(this::probe);
    if (zonePeers().size() > 1) {
      predecessorProbes.probe(predecessors());
    }
    probeRemote();
    probeWatched(now);
  }

  /** Probes a seed, whose response carries members; more often until a member is known. */
  private void probeSeed(Instant now) {
    if (seeds.isEmpty() || now.isBefore(nextSeed)) {
      return;
    }
    boolean alone = live().size() <= 1;
    nextSeed = now.plus(alone ? SEED_INTERVAL_ALONE : SEED_INTERVAL);
    Settings.Address address = seeds.get(random.nextInt(seeds.size()));
    if (isOwn(address)) {
      return;
    }
    Member seed = seedAt(address);
    network
        .sendRequest(seed, new PeerMessage.Ping(takeUpdates()), PROBE_TIMEOUT)
        .subscribe()
        .with(
            response -> handleResponse(seed, response),
            failure -> logger.atFine().log("seed %s does not respond", address));
  }

  private void probeWatched(Instant now) {
    watchedUntil.values().removeIf(until -> until.isBefore(now));
    for (String name : watchedUntil.keySet()) {
      Member target = members.get(name);
      if (target != null && !target.zone().equals(self.zone())) {
        ping(target).subscribe().with(response -> {}, failure -> {});
      }
    }
  }

  private void expireSuspicions(Instant now) {
    for (Map.Entry<String, Suspicion> entry : Map.copyOf(suspectedSince).entrySet()) {
      Suspicion suspicion = entry.getValue();
      if (!now.isAfter(suspicion.since().plus(SUSPICION_TIMEOUT))) {
        continue;
      }
      if (suspicion.counts().getAsBoolean()) {
        merge(members.get(entry.getKey()).withState(Member.State.DEAD));
      } else {
        // A refutation may have arrived without having been read.
        suspectedSince.put(entry.getKey(), newSuspicion());
      }
    }
  }

  private Suspicion newSuspicion() {
    return new Suspicion(clock.instant(), timeouts.start(SUSPICION_TIMEOUT));
  }

  private Optional<Member> nextTarget() {
    if (probeOrder.isEmpty()) {
      zonePeers()
          .forEach(peer -> probeOrder.add(random.nextInt(probeOrder.size() + 1), peer.name()));
    }
    if (probeOrder.isEmpty()) {
      return Optional.empty();
    }
    return Optional.ofNullable(members.get(probeOrder.remove(probeOrder.size() - 1)));
  }

  private void probe(Member target) {
    ping(target)
        .onFailure(PeerUnavailableException::isEvidence)
        .recoverWithUni(() -> probeThroughHelpers(target))
        .subscribe()
        .with(
            response -> {},
            failure -> {
              if (PeerUnavailableException.isEvidence(failure)) {
                suspect(target);
              }
            });
  }

  private Uni<PeerMessage> ping(Member target) {
    return network
        .sendRequest(target, new PeerMessage.Ping(takeUpdates()), PROBE_TIMEOUT)
        .invoke(response -> handleResponse(target, response))
        .onFailure(PeerUnavailableException::isEvidence)
        .invoke(unused -> markUnreachable(target));
  }

  private void handleResponse(Member target, PeerMessage response) {
    unreachableUntil.remove(target.name());
    unresponsiveSince.remove(target.name());
    if (response instanceof PeerMessage.Ack ack) {
      ack.updates().forEach(this::merge);
    }
  }

  private Uni<PeerMessage> probeThroughHelpers(Member target) {
    List<Member> helpers = new ArrayList<>(zonePeers());
    helpers.removeIf(helper -> helper.name().equals(target.name()));
    Uni<PeerMessage> attempt =
        Uni.createFrom()
            .failure(new IllegalStateException("no instance is available for an indirect probe"));
    for (int index = 0; index < MAXIMUM_HELPERS && !helpers.isEmpty(); index++) {
      Member helper = helpers.remove(random.nextInt(helpers.size()));
      PeerMessage request = new PeerMessage.PingFor(target.name(), takeUpdates());
      Duration timeout = PROBE_TIMEOUT.multipliedBy(2);
      attempt =
          attempt.onFailure().recoverWithUni(() -> network.sendRequest(helper, request, timeout));
    }
    return attempt;
  }

  private void suspect(Member target) {
    Member known = members.get(target.name());
    boolean outdated = known.epoch() > target.epoch() || known.incarnation() > target.incarnation();
    if (outdated || known.state() != Member.State.ALIVE && known.state() != Member.State.LEAVING) {
      return;
    }
    if (known.state() == Member.State.LEAVING) {
      merge(known.withState(Member.State.DEAD));
      return;
    }
    merge(known.withState(Member.State.SUSPECT));
  }

  /** As a reader, probes an instance of another zone, so that records replicate between zones. */
  private void probeRemote() {
    List<Member> remote = remotePeers();
    if (!isReader() || remote.isEmpty()) {
      return;
    }
    Member target = remote.get(random.nextInt(remote.size()));
    ping(target).subscribe().with(response -> {}, failure -> {});
  }

  private void refute(Member received) {
    if (!received.supersedes(self)) {
      return;
    }
    if (received.epoch() > self.epoch()) {
      self = self.withEpoch(received.epoch() + 1);
    } else {
      self = self.refuting(received.incarnation(), self.state());
    }
    put(self);
  }

  /** Stores a record and queues it for replication. */
  private void put(Member member) {
    members.put(member.name(), member);
    remainingSends.put(member.name(), SENDS_PER_UPDATE);
    view = Optional.empty();
  }

  private MemberView view() {
    if (view.isEmpty()) {
      view = Optional.of(MemberView.of(self, members.values()));
    }
    return view.get();
  }

  /** Returns records to replicate, and a newer record of the sender that it has to refute. */
  private List<Member> updatesFor(Member sender) {
    List<Member> updates = takeUpdates();
    Member known = members.get(sender.name());
    if (known.supersedes(sender)) {
      updates.add(known);
    }
    return updates;
  }

  /**
   * Returns the record of this instance and records that were not yet sent the required number of
   * times.
   */
  private List<Member> takeUpdates() {
    List<Member> updates = new ArrayList<>();
    updates.add(self);
    for (String name : List.copyOf(remainingSends.keySet())) {
      if (updates.size() >= UPDATES_PER_MESSAGE) {
        break;
      }
      updates.add(members.get(name));
      remainingSends.merge(name, -1, Integer::sum);
      if (remainingSends.get(name) <= 0) {
        remainingSends.remove(name);
      }
    }
    return updates;
  }
}
