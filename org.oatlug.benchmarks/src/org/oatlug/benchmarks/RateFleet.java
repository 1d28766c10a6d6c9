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
 * Simulates instances that send continuously to rate-limited upstreams of one availability zone, in
 * steps of virtual time, each with its own view of the membership.
 *
 * <p>Instances reach each other only within a network partition. An instance detects that a peer
 * became reachable or unreachable after a delay of less than {@link #MAXIMUM_DETECTION_DELAY}. Not
 * thread-safe.
 */
public final class RateFleet {
  /** The bound on the delay with which an instance detects a membership change. */
  private static final Duration MAXIMUM_DETECTION_DELAY = Duration.ofSeconds(4);

  private static final Duration DEFAULT_STEP = Duration.ofMillis(20);
  private static final Duration SECOND = Duration.ofSeconds(1);

  /** The sliding window in which requests are counted against an advertised limit. */
  private static final Duration ADVERTISED_SPAN = Duration.ofSeconds(4);

  private static final String LIMITED_ZONE = "zone-0";

  private final SendPolicy policy;
  private final Duration span;
  private double rate;
  private Duration step = DEFAULT_STEP;
  private final int zones;
  private final Random random;
  private final Map<String, Instance> instances = new TreeMap<>();
  private final Map<String, Deque<Instant>> recentSends = new HashMap<>();
  private final List<String> upstreams = new ArrayList<>();
  private Instant now = Instant.parse("2026-12-03T12:00:00Z");
  private Instant limitedSince = now;
  private OptionalLong firstMillis = OptionalLong.empty();
  private long totalSent;
  private int maximumInSpan;

  private RateFleet(SendPolicy policy, double rate, Duration span, int zones, long seed) {
    this.policy = policy;
    this.rate = rate;
    this.span = span;
    this.zones = zones;
    this.random = new Random(seed);
  }

  /** Policy that limits the requests of an instance. */
  @FunctionalInterface
  public interface SendPolicy {
    /** Creates the gate of an instance that starts now. */
    SendGate createGate(InstanceView view);
  }

  /** Limits the requests of a single instance. */
  @FunctionalInterface
  public interface SendGate extends TickSystem {
    /** Returns whether a request is allowed, and counts it if so; the rate is per second. */
    boolean send(String upstream, double rate, Instant now);

    @Override
    default void tick() {}
  }

  /**
   * Local state that is available to a policy.
   *
   * @param name the name of the instance
   * @param live supplies the members that the instance considers alive, including itself
   * @param clock the virtual clock
   */
  public record InstanceView(String name, Supplier<List<Member>> live, InstantSource clock) {}

  /** The production policy for cold upstreams: a few instances of the zone send, by rank. */
  public static final SendPolicy RANKED_COLD =
      ranked(
          senders -> senders.senders().ofCold(),
          (upstream, rate) -> Target.cold(upstream, LIMITED_ZONE, rate));

  /**
   * The production policy for advertised limits: a few live instances of the zone send, by rank.
   */
  public static final SendPolicy RANKED_LIMITED =
      ranked(
          senders -> senders.senders().ofLimited(),
          (upstream, rate) ->
              Target.advertised(upstream, LIMITED_ZONE, new AdvertisedLimit(rate, 0)));

  private static SendPolicy ranked(
      Function<RankedSenders, SenderSelection> selection,
      BiFunction<String, Double, Target> targetFactory) {
    return view -> {
      RankedSenders senders =
          RankedSenders.create(view.name(), view.live(), () -> true, view.clock());
      SharedRateLimit limit = SharedRateLimit.create(selection.apply(senders));
      return new SendGate() {
        @Override
        public boolean send(String upstream, double rate, Instant now) {
          Target target = targetFactory.apply(upstream, rate);
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

  /** Each instance sends an equal share, by the number of instances it has ever seen. */
  public static final SendPolicy EQUAL_SHARE =
      view -> {
        Map<String, Boolean> everSeen = new HashMap<>();
        Map<String, Instant> nextSends = new HashMap<>();
        return (upstream, rate, now) -> {
          view.live().get().forEach(present -> everSeen.put(present.name(), true));
          Duration interval = Duration.ofMillis((long) (1000 * everSeen.size() / rate));
          // The first request waits a full interval.
          Instant nextSend = nextSends.computeIfAbsent(upstream, unused -> now.plus(interval));
          if (now.isBefore(nextSend)) {
            return false;
          }
          nextSends.put(upstream, now.plus(interval));
          return true;
        };
      };

  /** The first instance by rank, among those currently seen, sends at half the limit. */
  public static final SendPolicy FIRST_RANKED =
      view -> {
        Map<String, Instant> nextSends = new HashMap<>();
        return (upstream, rate, now) -> {
          List<String> live = view.live().get().stream().map(Member::name).toList();
          boolean isFirst = Hashes.rendezvous(upstream, live).get(0).equals(view.name());
          if (!isFirst || now.isBefore(nextSends.getOrDefault(upstream, Instant.EPOCH))) {
            return false;
          }
          nextSends.put(upstream, now.plus(Duration.ofMillis((long) (2000 / rate))));
          return true;
        };
      };

  /** A simulated instance and its view of the membership. */
  private final class Instance {
    private final Member member;
    private final Map<String, Instant> differsSince = new HashMap<>();
    private final Map<String, Boolean> believedAlive = new HashMap<>();
    private final Duration detectionDelay;
    private int partition;
    private boolean frozen;
    private Instant partitionedUntil = Instant.EPOCH;
    private SendGate gate;

    Instance(Member member) {
      this.member = member;
      this.detectionDelay =
          Duration.ofMillis(random.nextInt((int) MAXIMUM_DETECTION_DELAY.toMillis()));
      restart();
    }

    void restart() {
      believedAlive.clear();
      differsSince.clear();
      believedAlive.put(member.name(), true);
      gate = policy.createGate(new InstanceView(member.name(), this::live, () -> now));
    }

    private List<Member> live() {
      return believedAlive.entrySet().stream()
          .filter(Map.Entry::getValue)
          .map(entry -> instances.get(entry.getKey()).member)
          .toList();
    }

    /** Updates the view of each peer once its actual state has differed for the delay. */
    void updateMembership() {
      for (Instance peer : instances.values()) {
        String name = peer.member.name();
        boolean reachable = peer.partition == partition;
        if (believedAlive.getOrDefault(name, false) == reachable) {
          differsSince.remove(name);
        } else if (!now.isBefore(
            differsSince.computeIfAbsent(name, unused -> now).plus(detectionDelay))) {
          believedAlive.put(name, reachable);
        }
      }
    }

    void step() {
      updateMembership();
      gate.tick();
      for (String upstream : upstreams) {
        if (reachesZone() && gate.send(upstream, rate, now)) {
          recordSent(upstream, isExempt());
        }
      }
    }

    /** Returns whether any instance of the zone is reachable, and with it the zone's upstreams. */
    private boolean reachesZone() {
      return instances.values().stream()
          .anyMatch(
              instance ->
                  instance.member.zone().equals(LIMITED_ZONE) && instance.partition == partition);
    }

    /**
     * Returns whether the requests of this instance do not count. An advertised limit exempts
     * instances that are outside the first partition, or were until recently.
     */
    private boolean isExempt() {
      return !span.equals(SECOND) && (partition != 0 || now.isBefore(partitionedUntil));
    }
  }

  private void recordSent(String upstream, boolean exempt) {
    totalSent++;
    if (exempt) {
      return;
    }
    Deque<Instant> sendTimes = recentSends.computeIfAbsent(upstream, unused -> new ArrayDeque<>());
    sendTimes.add(now);
    while (!sendTimes.peek().isAfter(now.minus(span))) {
      sendTimes.remove();
    }
    maximumInSpan = Math.max(maximumInSpan, sendTimes.size());
    if (firstMillis.isEmpty()) {
      firstMillis = OptionalLong.of(Duration.between(limitedSince, now).toMillis());
    }
  }

  /** Returns a fleet with cold upstreams whose instances have not discovered each other yet. */
  public static RateFleet ofCold(
      SendPolicy policy, double bound, int zones, int perZone, long seed) {
    RateFleet fleet = new RateFleet(policy, bound, SECOND, zones, seed);
    fleet.add(zones * perZone);
    return fleet;
  }

  /** Returns a fleet with advertised limits whose instances have not discovered each other yet. */
  public static RateFleet ofLimited(
      SendPolicy policy, double rate, int zones, int perZone, long seed) {
    RateFleet fleet = new RateFleet(policy, rate, ADVERTISED_SPAN, zones, seed);
    fleet.add(zones * perZone);
    return fleet;
  }

  /** Sets the simulation step; a long step leaves part of a high rate unused. */
  public void stepBy(Duration newStep) {
    step = newStep;
  }

  /** Changes the advertised limit, in requests per second; all instances receive it at once. */
  public void advertise(double newRate) {
    rate = newRate;
  }

  /** Adds instances, distributed round robin over the zones. */
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

  /** Assigns the instances to network partitions at random. */
  public void partition(int partitions) {
    for (Instance instance : instances.values()) {
      int previousPartition = instance.partition;
      instance.partition = random.nextInt(partitions);
      if (previousPartition != 0) {
        instance.partitionedUntil = now.plus(MAXIMUM_DETECTION_DELAY);
      }
    }
  }

  /** Restarts a random share of the instances. */
  public void restart(double share) {
    instances.values().stream()
        .filter(instance -> random.nextDouble() < share)
        .forEach(Instance::restart);
  }

  /** Pauses a random share of the instances until the next call. */
  public void pause(double share) {
    instances.values().forEach(instance -> instance.frozen = random.nextDouble() < share);
  }

  /** Replaces the limited upstreams of the first zone and resets all measurements. */
  public void replaceUpstreams(int count) {
    upstreams.clear();
    for (int number = 0; number < count; number++) {
      upstreams.add("i-" + random.nextInt() + "-" + number);
    }
    limitedSince = now;
    firstMillis = OptionalLong.empty();
    recentSends.clear();
    totalSent = 0;
    maximumInSpan = 0;
  }

  /** Advances virtual time by the duration. */
  public void run(Duration duration) {
    Instant end = now.plus(duration);
    while (now.isBefore(end)) {
      instances.values().stream().filter(instance -> !instance.frozen).forEach(Instance::step);
      now = now.plus(step);
    }
  }

  /** Returns the maximum number of counted requests to an upstream in any span of its limit. */
  public int maximumInSpan() {
    return maximumInSpan;
  }

  /** Returns the requests sent as a share of those allowed since the limits were set. */
  public double usedShare() {
    double seconds = Duration.between(limitedSince, now).toMillis() / 1000.0;
    return totalSent / (rate * seconds * upstreams.size());
  }

  /** Returns the time from the limit to the first request, or empty if none was sent. */
  public OptionalLong firstMillis() {
    return firstMillis;
  }
}
