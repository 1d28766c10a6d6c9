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
import java.util.random.RandomGenerator;
import org.oatlug.config.Settings;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;
import org.oatlug.internal.util.Hashes;
import org.oatlug.platform.Platform;

/**
 * Which entry instances are live.
 *
 * <p>Instances of one availability zone probe each other, directly and then through others, and
 * suspect before they declare dead. Instances of other zones are never declared dead from here,
 * because a cut looks the same; they are only remembered as unreachable for a while. Records join
 * by epoch, incarnation and state, so late news change nothing. An instance that hears that it is
 * suspected contradicts. Owned by one event loop, not thread-safe.
 */
public final class Membership {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);
  private static final Duration PROBE_PATIENCE = Duration.ofMillis(400);

  /** How often a seed is asked while no other instance is known. */
  private static final Duration SEED_INTERVAL_ALONE = Duration.ofMillis(200);

  /** How often a seed is asked otherwise, so that parts that lost each other meet again. */
  private static final Duration SEED_INTERVAL = Duration.ofSeconds(5);

  private static final Duration SUSPICION = Duration.ofMillis(2000);
  private static final Duration UNREACHABLE_FOR = Duration.ofSeconds(3);
  private static final Duration WATCHED_FOR = Duration.ofSeconds(5);
  private static final Duration LOST_AFTER = Duration.ofSeconds(8);
  private static final int HELPERS = 2;
  private static final int NEWS_REPEATS = 8;
  private static final int NEWS_PER_MESSAGE = 8;
  private static final int READERS = 2;
  private static final int PARENT_WIDTH = 4;

  private final InstantSource clock;
  private final RandomGenerator random;
  private final Map<String, Member> members = new TreeMap<>();
  private final Map<String, Instant> suspectedSince = new HashMap<>();
  private final Map<String, Instant> unreachableUntil = new HashMap<>();
  private final Map<String, Instant> silentSince = new HashMap<>();
  private final Map<String, Instant> watched = new HashMap<>();
  private final Map<String, Integer> news = new HashMap<>();
  private final List<String> probeOrder = new ArrayList<>();
  private final List<Settings.Address> seeds = new ArrayList<>();
  private Member self;
  private Optional<MemberView> view = Optional.empty();
  private PeerNetwork network;
  private Instant nextSeed = Instant.EPOCH;
  private Instant nextProbe = Instant.EPOCH;

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

  /** Sets the way to the other instances; called once, before the first tick. */
  public void connect(PeerNetwork peers) {
    network = peers;
  }

  /** Returns the record of this instance. */
  public Member self() {
    return self;
  }

  /** Returns whether the record is of this instance. */
  public boolean isSelf(Member member) {
    return member.name().equals(self.name());
  }

  /** Takes in instances that were listed; a list lags and never declares anybody dead. */
  public void listed(List<Platform.ListedInstance> instances) {
    for (Platform.ListedInstance one : instances) {
      if (!members.containsKey(one.name())) {
        merge(
            new Member(
                one.name(),
                one.zone(),
                one.rack(),
                one.host(),
                one.peerPort(),
                0,
                0,
                Member.State.ALIVE));
      }
    }
  }

  /** Sets addresses at which other instances are looked for while few of them are known. */
  public void seeds(List<Settings.Address> addresses) {
    seeds.clear();
    seeds.addAll(addresses);
  }

  /** Returns whether other instances are known, if only by an address. */
  public boolean knowsOfOthers() {
    return live().size() > 1 || seeds.stream().anyMatch(seed -> !isOwn(seed));
  }

  /** Returns the other instances that can be asked: live ones, and those known by address alone. */
  public List<Member> addressedPeers() {
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

  /** Returns a record of an instance whose name is not known before it answers. */
  private static Member seedAt(Settings.Address address) {
    return new Member(
        address.toString(), "", "", address.host(), address.port(), 0, 0, Member.State.ALIVE);
  }

  private boolean isOwn(Settings.Address address) {
    return address.host().equals(self.host()) && address.port() == self.peerPort();
  }

  /** Takes in a record of a member. */
  public void merge(Member heard) {
    if (heard.name().equals(self.name())) {
      refute(heard);
      return;
    }
    Member known = members.get(heard.name());
    if (known != null && !heard.supersedes(known)) {
      return;
    }
    put(heard);
    if (heard.state() == Member.State.SUSPECT) {
      suspectedSince.putIfAbsent(heard.name(), clock.instant());
    } else {
      suspectedSince.remove(heard.name());
    }
    if (known == null || known.state() != heard.state()) {
      logger.atInfo().log("instance %s is %s", heard.process(), heard.state());
    }
  }

  /** Says to all that this instance is leaving. */
  public void leave() {
    self = self.withState(Member.State.LEAVING);
    put(self);
  }

  /** Returns all records. */
  public Collection<Member> all() {
    return members.values();
  }

  /** Returns the instances that are believed to live, this one included. */
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

  /** Returns whether the process with this name and epoch is known to be gone. */
  public boolean isGone(String process) {
    int at = process.lastIndexOf('@');
    Member known = members.get(process.substring(0, Math.max(at, 0)));
    if (known == null) {
      return false;
    }
    boolean replaced = known.epoch() > 0 && !known.process().equals(process);
    return replaced || known.state() == Member.State.DEAD;
  }

  /**
   * Returns whether the process is gone, or of another zone and did not answer for long.
   *
   * <p>Asking makes this instance probe the process for a while. A process that is only cut off
   * looks lost, too; what is done about a lost process must be right in both cases.
   */
  public boolean isLost(String process) {
    if (isGone(process)) {
      return true;
    }
    String name = process.substring(0, Math.max(process.lastIndexOf('@'), 0));
    Instant now = clock.instant();
    watched.put(name, now.plus(WATCHED_FOR));
    Instant since = silentSince.get(name);
    return since != null && now.isAfter(since.plus(LOST_AFTER));
  }

  /** Returns whether this instance is one of the readers of its availability zone. */
  public boolean isReader() {
    int rank = view().readerRank().indexOf(self.name());
    return rank >= 0 && rank < READERS;
  }

  /** Returns whether this instance is the first of the readers, whom the others stand beside. */
  public boolean isFirstReader() {
    return view().readerRank().indexOf(self.name()) == 0;
  }

  /**
   * Returns those who may read in the place of this instance: the others of the zone that are not
   * readers, by rank, from another one on for each of the readers.
   */
  public List<Member> standInsForReader() {
    List<String> ranked = view().readerRank();
    List<Member> others = new ArrayList<>(ranked.stream().skip(READERS).map(members::get).toList());
    if (others.size() > 1) {
      Collections.rotate(others, -(ranked.indexOf(self.name()) % others.size()));
    }
    return others;
  }

  /** Returns the instance that is one step nearer to the readers, empty for a reader. */
  public Optional<Member> parent() {
    List<String> ranked = view().readerRank();
    int rank = ranked.indexOf(self.name());
    if (rank < READERS) {
      return Optional.empty();
    }
    return Optional.of(members.get(ranked.get((rank - READERS) / PARENT_WIDTH)));
  }

  /** Returns the reachable instance that comes first by rendezvous rank for a duty. */
  public Optional<Member> ownerOf(String duty) {
    List<String> names =
        live().stream()
            .filter(member -> member.state() == Member.State.ALIVE && member.epoch() > 0)
            .filter(this::isReachable)
            .map(Member::name)
            .toList();
    return Hashes.rendezvous(duty, names).stream().findFirst().map(members::get);
  }

  /** Remembers that an instance did not answer, so that no duty is looked for there. */
  public void unreachable(Member member) {
    unreachableUntil.put(member.name(), clock.instant().plus(UNREACHABLE_FOR));
    silentSince.putIfAbsent(member.name(), clock.instant());
  }

  /** Returns whether the instance answered, or was not asked, lately. */
  public boolean isReachable(Member member) {
    Instant until = unreachableUntil.getOrDefault(member.name(), Instant.EPOCH);
    return !clock.instant().isBefore(until);
  }

  /** Answers the probes of other instances. */
  public Uni<PeerMessage> handle(Member from, PeerMessage message) {
    merge(from);
    if (message instanceof PeerMessage.Ping ping) {
      ping.news().forEach(this::merge);
      return Uni.createFrom().item(new PeerMessage.Ack(newsFor(from)));
    }
    PeerMessage.PingFor request = (PeerMessage.PingFor) message;
    request.news().forEach(this::merge);
    Member target = members.get(request.target());
    if (target == null) {
      return Uni.createFrom().item(new PeerMessage.Failed("unknown instance"));
    }
    return ping(target);
  }

  /** Probes the next instance and ends suspicions that lasted too long. */
  public void tick() {
    Instant now = clock.instant();
    endSuspicions(now);
    askSeed(now);
    if (now.isBefore(nextProbe)) {
      return;
    }
    nextProbe = now.plus(PROBE_INTERVAL);
    nextTarget().ifPresent(this::probe);
    probeRemote();
    probeWatched(now);
  }

  /** Asks a seed for members, whose names come with its answer; often until a member is known. */
  private void askSeed(Instant now) {
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
        .ask(seed, new PeerMessage.Ping(takeNews()), PROBE_PATIENCE)
        .subscribe()
        .with(
            answer -> answered(seed, answer),
            failure -> logger.atFine().log("seed %s does not answer", address));
  }

  private void probeWatched(Instant now) {
    watched.values().removeIf(until -> until.isBefore(now));
    for (String name : watched.keySet()) {
      Member target = members.get(name);
      if (target != null && !target.zone().equals(self.zone())) {
        ping(target).subscribe().with(answer -> {}, failure -> {});
      }
    }
  }

  private void endSuspicions(Instant now) {
    for (Map.Entry<String, Instant> entry : Map.copyOf(suspectedSince).entrySet()) {
      if (now.isAfter(entry.getValue().plus(SUSPICION))) {
        merge(members.get(entry.getKey()).withState(Member.State.DEAD));
      }
    }
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
        .onFailure()
        .recoverWithUni(() -> probeThroughOthers(target))
        .subscribe()
        .with(answer -> {}, failure -> suspect(target));
  }

  private Uni<PeerMessage> ping(Member target) {
    return network
        .ask(target, new PeerMessage.Ping(takeNews()), PROBE_PATIENCE)
        .invoke(answer -> answered(target, answer))
        .onFailure()
        .invoke(unused -> unreachable(target));
  }

  private void answered(Member target, PeerMessage answer) {
    unreachableUntil.remove(target.name());
    silentSince.remove(target.name());
    if (answer instanceof PeerMessage.Ack ack) {
      ack.news().forEach(this::merge);
    }
  }

  private Uni<PeerMessage> probeThroughOthers(Member target) {
    List<Member> helpers = new ArrayList<>(zonePeers());
    helpers.removeIf(helper -> helper.name().equals(target.name()));
    Uni<PeerMessage> attempt = Uni.createFrom().failure(new IllegalStateException("no helper"));
    for (int index = 0; index < HELPERS && !helpers.isEmpty(); index++) {
      Member helper = helpers.remove(random.nextInt(helpers.size()));
      PeerMessage question = new PeerMessage.PingFor(target.name(), takeNews());
      Duration patience = PROBE_PATIENCE.multipliedBy(2);
      attempt = attempt.onFailure().recoverWithUni(() -> network.ask(helper, question, patience));
    }
    return attempt;
  }

  private void suspect(Member target) {
    Member known = members.get(target.name());
    boolean newer = known.epoch() > target.epoch() || known.incarnation() > target.incarnation();
    if (newer || known.state() != Member.State.ALIVE && known.state() != Member.State.LEAVING) {
      return;
    }
    if (known.state() == Member.State.LEAVING) {
      merge(known.withState(Member.State.DEAD));
      return;
    }
    merge(known.withState(Member.State.SUSPECT));
  }

  /** Readers talk to one instance of another zone in turn, so that news crosses zones. */
  private void probeRemote() {
    List<Member> remote = remotePeers();
    if (!isReader() || remote.isEmpty()) {
      return;
    }
    Member target = remote.get(random.nextInt(remote.size()));
    ping(target).subscribe().with(answer -> {}, failure -> {});
  }

  private void refute(Member heard) {
    if (!heard.supersedes(self)) {
      return;
    }
    if (heard.epoch() > self.epoch()) {
      self = self.withEpoch(heard.epoch() + 1);
    } else {
      self = self.refuting(heard.incarnation(), self.state());
    }
    put(self);
  }

  /** Takes over a record, and tells others of it. */
  private void put(Member member) {
    members.put(member.name(), member);
    news.put(member.name(), NEWS_REPEATS);
    view = Optional.empty();
  }

  private MemberView view() {
    if (view.isEmpty()) {
      view = Optional.of(MemberView.of(self, members.values()));
    }
    return view.get();
  }

  /** Returns news, and what is believed of the asker, if it has to contradict that. */
  private List<Member> newsFor(Member asker) {
    List<Member> told = takeNews();
    Member believed = members.get(asker.name());
    if (believed.supersedes(asker)) {
      told.add(believed);
    }
    return told;
  }

  /** Returns records that were not told often enough yet, and this instance's own. */
  private List<Member> takeNews() {
    List<Member> told = new ArrayList<>();
    told.add(self);
    for (String name : List.copyOf(news.keySet())) {
      if (told.size() >= NEWS_PER_MESSAGE) {
        break;
      }
      told.add(members.get(name));
      news.merge(name, -1, Integer::sum);
      if (news.get(name) <= 0) {
        news.remove(name);
      }
    }
    return told;
  }
}
