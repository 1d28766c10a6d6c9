// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.oatlug.internal.limit.ColdLimit;
import org.oatlug.internal.limit.RankedColdSenders;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.util.Hashes;
import org.oatlug.internal.util.TickSystem;

/**
 * Instances that all want to send to the cold upstreams of one availability zone, in steps of
 * virtual time, each with what it believes of the others.
 *
 * <p>Who can reach whom is set by islands; an instance learns of another up to {@link #MOST_LAG}
 * late, and takes it for lost as late. Used from one thread.
 */
public final class ColdFleet {
  /** How late an instance learns that another came or went. */
  private static final Duration MOST_LAG = Duration.ofSeconds(4);

  private static final Duration STEP = Duration.ofMillis(20);
  private static final Duration SECOND = Duration.ofSeconds(1);

  private final Way way;
  private final double bound;
  private final int zones;
  private final Random random;
  private final Map<String, Instance> instances = new TreeMap<>();
  private final Map<String, List<Instant>> sent = new HashMap<>();
  private final List<String> upstreams = new ArrayList<>();
  private Instant now = Instant.parse("2026-12-03T12:00:00Z");
  private Instant coldSince = now;
  private OptionalLong firstMillis = OptionalLong.empty();
  private int worst;

  private ColdFleet(Way way, double bound, int zones, long seed) {
    this.way = way;
    this.bound = bound;
    this.zones = zones;
    this.random = new Random(seed);
  }

  /** A way to bound what an instance sends. */
  @FunctionalInterface
  public interface Way {
    /** Returns the gate of an instance that starts now. */
    Gate gateOf(View view);
  }

  /** Bounds what one instance sends. */
  @FunctionalInterface
  public interface Gate extends TickSystem {
    /** Lets a request through, or not. */
    boolean send(ColdLimit.Place place, Instant now);

    @Override
    default void tick() {}
  }

  /**
   * What an instance knows.
   *
   * @param name its name
   * @param live whom it takes to live, itself included
   * @param clock the time
   */
  public record View(String name, Supplier<List<Member>> live, InstantSource clock) {}

  /** A few instances of the zone send, by rank: what the product does. */
  public static final Way RANKED =
      view -> {
        RankedColdSenders senders =
            RankedColdSenders.create(view.name(), view.live(), () -> true, view.clock());
        ColdLimit limit = ColdLimit.create(senders);
        return new Gate() {
          @Override
          public boolean send(ColdLimit.Place place, Instant now) {
            boolean room = limit.hasRoom(place, now);
            if (room) {
              limit.take(place).written(now);
            }
            return room;
          }

          @Override
          public void tick() {
            senders.tick();
          }
        };
      };

  /** Each instance sends its share, by the number of those it ever saw. */
  public static final Way SHARE =
      view -> {
        Map<String, Boolean> known = new HashMap<>();
        Map<String, Instant> next = new HashMap<>();
        return (place, now) -> {
          view.live().get().forEach(member -> known.put(member.name(), true));
          Duration pause =
              Duration.ofMillis((long) (1000 * known.size() / place.requestsPerSecond()));
          // The allowance starts empty.
          Instant due = next.computeIfAbsent(place.upstream(), unused -> now.plus(pause));
          if (now.isBefore(due)) {
            return false;
          }
          next.put(place.upstream(), now.plus(pause));
          return true;
        };
      };

  /** The first instance by rank sends half of what is borne, among those it sees now. */
  public static final Way FIRST =
      view -> {
        Map<String, Instant> next = new HashMap<>();
        return (place, now) -> {
          List<String> live = view.live().get().stream().map(Member::name).toList();
          boolean first = Hashes.rendezvous(place.upstream(), live).get(0).equals(view.name());
          if (!first || now.isBefore(next.getOrDefault(place.upstream(), Instant.EPOCH))) {
            return false;
          }
          next.put(
              place.upstream(),
              now.plus(Duration.ofMillis((long) (2000 / place.requestsPerSecond()))));
          return true;
        };
      };

  /** One instance. */
  private final class Instance {
    private final Member self;
    private final Map<String, Instant> changedAt = new HashMap<>();
    private final Map<String, Boolean> seen = new HashMap<>();
    private final Duration lag;
    private int island;
    private boolean frozen;
    private Gate gate;

    Instance(Member self) {
      this.self = self;
      this.lag = Duration.ofMillis(random.nextInt((int) MOST_LAG.toMillis()));
      restart();
    }

    void restart() {
      seen.clear();
      changedAt.clear();
      seen.put(self.name(), true);
      gate = way.gateOf(new View(self.name(), this::live, () -> now));
    }

    private List<Member> live() {
      return seen.entrySet().stream()
          .filter(Map.Entry::getValue)
          .map(entry -> instances.get(entry.getKey()).self)
          .toList();
    }

    /** Learns of others some time after the truth changed. */
    void look() {
      for (Instance other : instances.values()) {
        String name = other.self.name();
        boolean truth = other.island == island;
        if (seen.getOrDefault(name, false) == truth) {
          changedAt.remove(name);
        } else if (!now.isBefore(changedAt.computeIfAbsent(name, unused -> now).plus(lag))) {
          seen.put(name, truth);
        }
      }
    }

    void step() {
      look();
      gate.tick();
      for (String upstream : upstreams) {
        ColdLimit.Place place = new ColdLimit.Place(upstream, "zone-0", bound);
        if (gate.send(place, now)) {
          noteSent(upstream);
        }
      }
    }
  }

  private void noteSent(String upstream) {
    List<Instant> times = sent.computeIfAbsent(upstream, unused -> new ArrayList<>());
    times.add(now);
    long inSecond = times.stream().filter(at -> at.isAfter(now.minus(SECOND))).count();
    worst = (int) Math.max(worst, inSecond);
    if (firstMillis.isEmpty()) {
      firstMillis = OptionalLong.of(Duration.between(coldSince, now).toMillis());
    }
  }

  /** Returns a fleet of so many instances in each zone, who do not know each other yet. */
  public static ColdFleet of(Way way, double bound, int zones, int perZone, long seed) {
    ColdFleet fleet = new ColdFleet(way, bound, zones, seed);
    fleet.add(zones * perZone);
    return fleet;
  }

  /** Adds instances to the zones in turn. */
  public void add(int count) {
    for (int added = 0; added < count; added++) {
      int number = instances.size();
      String zone = "zone-" + number % zones;
      String name = "entry-" + number;
      instances.put(
          name,
          new Instance(new Member(name, zone, name, "127.0.0.1", 1, 1, 0, Member.State.ALIVE)));
    }
  }

  /** Cuts the instances into islands at random. */
  public void cut(int islands) {
    instances.values().forEach(instance -> instance.island = random.nextInt(islands));
  }

  /** Starts a share of the instances anew. */
  public void restart(double share) {
    instances.values().stream()
        .filter(instance -> random.nextDouble() < share)
        .forEach(Instance::restart);
  }

  /** Stops a share of the instances, until the next call. */
  public void freeze(double share) {
    instances.values().forEach(instance -> instance.frozen = random.nextDouble() < share);
  }

  /** Lets upstreams of the first zone be cold from now on, and forgets what was measured. */
  public void turnCold(int count) {
    upstreams.clear();
    for (int number = 0; number < count; number++) {
      upstreams.add("i-" + random.nextInt() + "-" + number);
    }
    coldSince = now;
    firstMillis = OptionalLong.empty();
    sent.clear();
    worst = 0;
  }

  /** Lets the time pass. */
  public void run(Duration duration) {
    Instant end = now.plus(duration);
    while (now.isBefore(end)) {
      instances.values().stream().filter(instance -> !instance.frozen).forEach(Instance::step);
      now = now.plus(STEP);
    }
  }

  /** Returns the most requests that an upstream got in any second. */
  public int worst() {
    return worst;
  }

  /** Returns the share of what could be sent since the upstreams turned cold that was sent. */
  public double usedShare() {
    double seconds = Duration.between(coldSince, now).toMillis() / 1000.0;
    double all = sent.values().stream().mapToInt(List::size).sum();
    return all / (bound * seconds * upstreams.size());
  }

  /** Returns after how long the first request was sent, empty if none was. */
  public OptionalLong firstMillis() {
    return firstMillis;
  }
}
