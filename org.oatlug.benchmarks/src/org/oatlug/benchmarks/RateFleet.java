// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.Supplier;
import org.oatlug.internal.limit.AdvertisedLimit;
import org.oatlug.internal.limit.RankedSenders;
import org.oatlug.internal.limit.SenderSelection;
import org.oatlug.internal.limit.SharedRateLimit;
import org.oatlug.internal.limit.SharedRateLimit.Target;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.util.Hashes;
import org.oatlug.internal.util.TickSystem;

/**
 * Instances that all want to send to the upstreams of one availability zone whose rate is limited,
 * in steps of virtual time, each with what it believes of the others.
 *
 * <p>Who can reach whom is set by islands; an instance learns of another up to {@link #MOST_LAG}
 * late, and takes it for lost as late. Used from one thread.
 */
public final class RateFleet {
  /** How late an instance learns that another came or went. */
  private static final Duration MOST_LAG = Duration.ofSeconds(4);

  private static final Duration USUAL_STEP = Duration.ofMillis(20);
  private static final Duration SECOND = Duration.ofSeconds(1);

  /** The span for which an advertised limit is measured. */
  private static final Duration ADVERTISED_SPAN = Duration.ofSeconds(4);

  private static final String LIMITED_ZONE = "zone-0";

  private final Way way;
  private final Duration span;
  private double rate;
  private Duration step = USUAL_STEP;
  private final int zones;
  private final Random random;
  private final Map<String, Instance> instances = new TreeMap<>();
  private final Map<String, Deque<Instant>> sent = new HashMap<>();
  private final List<String> upstreams = new ArrayList<>();
  private Instant now = Instant.parse("2026-12-03T12:00:00Z");
  private Instant limitedSince = now;
  private OptionalLong firstMillis = OptionalLong.empty();
  private long all;
  private int worst;

  private RateFleet(Way way, double rate, Duration span, int zones, long seed) {
    this.way = way;
    this.rate = rate;
    this.span = span;
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
    /** Lets a request to an upstream with this rate limit through, or not. */
    boolean send(String upstream, double rate, Instant now);

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

  /** A few instances of the zone send, by rank: what the product does for cold upstreams. */
  public static final Way RANKED_COLD =
      ranked(
          senders -> senders.senders().ofCold(),
          (upstream, rate) -> Target.cold(upstream, LIMITED_ZONE, rate));

  /** A few live instances of the zone send, by rank: what the product does for a limit. */
  public static final Way RANKED_LIMITED =
      ranked(
          senders -> senders.senders().ofLimited(),
          (upstream, rate) ->
              Target.advertised(upstream, LIMITED_ZONE, new AdvertisedLimit(rate, 0)));

  private static Way ranked(
      Function<RankedSenders, SenderSelection> selection,
      BiFunction<String, Double, Target> targets) {
    return view -> {
      RankedSenders senders =
          RankedSenders.create(view.name(), view.live(), () -> true, view.clock());
      SharedRateLimit limit = SharedRateLimit.create(selection.apply(senders));
      return new Gate() {
        @Override
        public boolean send(String upstream, double rate, Instant now) {
          Target target = targets.apply(upstream, rate);
          boolean allowed = limit.allows(target, now);
          if (allowed) {
            limit.acquire(target).written(now);
          }
          return allowed;
        }

        @Override
        public void tick() {
          senders.tick();
        }
      };
    };
  }

  /** Each instance sends its share, by the number of those it ever saw. */
  public static final Way SHARE =
      view -> {
        Map<String, Boolean> known = new HashMap<>();
        Map<String, Instant> next = new HashMap<>();
        return (upstream, rate, now) -> {
          view.live().get().forEach(member -> known.put(member.name(), true));
          Duration pause = Duration.ofMillis((long) (1000 * known.size() / rate));
          // The allowance starts empty.
          Instant due = next.computeIfAbsent(upstream, unused -> now.plus(pause));
          if (now.isBefore(due)) {
            return false;
          }
          next.put(upstream, now.plus(pause));
          return true;
        };
      };

  /** The first instance by rank sends half of what is borne, among those it sees now. */
  public static final Way FIRST =
      view -> {
        Map<String, Instant> next = new HashMap<>();
        return (upstream, rate, now) -> {
          List<String> live = view.live().get().stream().map(Member::name).toList();
          boolean first = Hashes.rendezvous(upstream, live).get(0).equals(view.name());
          if (!first || now.isBefore(next.getOrDefault(upstream, Instant.EPOCH))) {
            return false;
          }
          next.put(upstream, now.plus(Duration.ofMillis((long) (2000 / rate))));
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
    private Instant cutUntil = Instant.EPOCH;
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
        if (reachesZone() && gate.send(upstream, rate, now)) {
          noteSent(upstream, isExcused());
        }
      }
    }

    /** Whoever is cut off from all instances of a zone is cut off from its upstreams. */
    private boolean reachesZone() {
      return instances.values().stream()
          .anyMatch(one -> one.self.zone().equals(LIMITED_ZONE) && one.island == island);
    }

    /** The rule for an advertised limit excuses who is cut off, and those who were of late. */
    private boolean isExcused() {
      return !span.equals(SECOND) && (island != 0 || now.isBefore(cutUntil));
    }
  }

  private void noteSent(String upstream, boolean excused) {
    all++;
    if (excused) {
      return;
    }
    Deque<Instant> times = sent.computeIfAbsent(upstream, unused -> new ArrayDeque<>());
    times.add(now);
    while (!times.peek().isAfter(now.minus(span))) {
      times.remove();
    }
    worst = Math.max(worst, times.size());
    if (firstMillis.isEmpty()) {
      firstMillis = OptionalLong.of(Duration.between(limitedSince, now).toMillis());
    }
  }

  /** Returns a fleet whose upstreams turn cold, of instances that do not know each other yet. */
  public static RateFleet ofCold(Way way, double bound, int zones, int perZone, long seed) {
    RateFleet fleet = new RateFleet(way, bound, SECOND, zones, seed);
    fleet.add(zones * perZone);
    return fleet;
  }

  /** Returns a fleet whose upstreams advertise a limit, of instances that know nobody yet. */
  public static RateFleet ofLimited(Way way, double rate, int zones, int perZone, long seed) {
    RateFleet fleet = new RateFleet(way, rate, ADVERTISED_SPAN, zones, seed);
    fleet.add(zones * perZone);
    return fleet;
  }

  /** Lets instances send in shorter or longer steps; long ones waste a part of a high rate. */
  public void stepBy(Duration newStep) {
    step = newStep;
  }

  /** Lets the upstreams advertise another limit, which all hear. */
  public void advertise(double newRate) {
    rate = newRate;
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
    for (Instance instance : instances.values()) {
      int before = instance.island;
      instance.island = random.nextInt(islands);
      if (before != 0) {
        instance.cutUntil = now.plus(MOST_LAG);
      }
    }
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

  /** Limits upstreams of the first zone from now on, and forgets what was measured. */
  public void limit(int count) {
    upstreams.clear();
    for (int number = 0; number < count; number++) {
      upstreams.add("i-" + random.nextInt() + "-" + number);
    }
    limitedSince = now;
    firstMillis = OptionalLong.empty();
    sent.clear();
    all = 0;
    worst = 0;
  }

  /** Lets the time pass. */
  public void run(Duration duration) {
    Instant end = now.plus(duration);
    while (now.isBefore(end)) {
      instances.values().stream().filter(instance -> !instance.frozen).forEach(Instance::step);
      now = now.plus(step);
    }
  }

  /** Returns the most requests that an upstream got in any span for which its limit holds. */
  public int worst() {
    return worst;
  }

  /** Returns the share of what could be sent since the upstreams were limited that was sent. */
  public double usedShare() {
    double seconds = Duration.between(limitedSince, now).toMillis() / 1000.0;
    return all / (rate * seconds * upstreams.size());
  }

  /** Returns after how long the first request was sent, empty if none was. */
  public OptionalLong firstMillis() {
    return firstMillis;
  }
}
