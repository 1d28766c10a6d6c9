// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.util.BoundedMap;
import org.oatlug.internal.util.Hashes;
import org.oatlug.internal.util.TickSystem;

/**
 * Assigns each upstream its senders: the first few instances of its availability zone by rendezvous
 * rank.
 *
 * <p>Load pattern: all upstreams of a zone restart together with cold caches, while the instances
 * that could send to them are partitioned, have just started or are paused. Instances must agree on
 * the few senders without communication. An instance that sees half of the others or fewer sends
 * nothing, because the others may send; nor does an instance that has just started, or that has
 * peers but has not seen any of them live.
 *
 * <p>For cold upstreams all remembered instances of the zone are ranked, not only the live ones:
 * partitioned instances then rank the same set, and the share of a lost instance is unused only for
 * seconds. An advertised limit may last long and ends only with a response, so for limited
 * upstreams the live instances are ranked, those of other zones if the zone has none.
 *
 * <p>Invariant: two instances that both see more than half of the zone differ in rank only by the
 * instances that joined, left or expired in between. Used from one event loop.
 */
public final class RankedSenders implements TickSystem {
  /** The interval between updates from the membership, which itself changes within seconds. */
  private static final Duration UPDATE_INTERVAL = Duration.ofSeconds(1);

  /**
   * The time for which an instance sends nothing after its start: several times the second that
   * discovery in both directions takes, to allow for lost messages.
   */
  static final Duration SETTLING_TIME = Duration.ofSeconds(5);

  /**
   * The time for which an instance is remembered after it was live: longer than partitions of a
   * zone.
   */
  static final Duration REMEMBERED = Duration.ofMinutes(10);

  /**
   * The time for which an instance that is not live counts towards the majority that is required to
   * send to an upstream with an advertised limit: longer than a restart, yet short enough that
   * replaced instances do not block their successors.
   */
  private static final Duration COUNTED = Duration.ofMinutes(1);

  /** Several times the instances at the design size, which is about 1,300. */
  private static final int MAXIMUM_REMEMBERED = 8192;

  /** The maximum cached ranks; enough for all upstreams that are cold at the design size. */
  private static final int MAXIMUM_RANKS = 2048;

  private final String self;
  private final Supplier<List<Member>> live;
  private final BooleanSupplier hasKnownPeers;
  private final InstantSource clock;
  private final Instant startedAt;
  private final Map<String, LastSeen> roster = BoundedMap.withMaximumSize(MAXIMUM_REMEMBERED);
  private final Map<String, Integer> ranks = BoundedMap.withMaximumSize(MAXIMUM_RANKS);
  private final Map<String, Integer> liveRanks = BoundedMap.withMaximumSize(MAXIMUM_RANKS);
  private final Map<String, Integer> brittleRanks = BoundedMap.withMaximumSize(MAXIMUM_RANKS);
  private final Map<String, Zone> zones = new HashMap<>();

  /**
   * The instances of all zones: candidates for upstreams of a zone without instances, and the
   * majority that decides between two equal halves of a zone.
   */
  private Zone allZones = Zone.EMPTY;

  private Set<String> liveNames = Set.of();
  private Instant nextUpdate = Instant.EPOCH;

  /** The zone of an instance and the time when it was last live. */
  private record LastSeen(String zone, Instant at) {}

  /**
   * The instances of one zone, or of all zones.
   *
   * @param names the remembered instances
   * @param majorityIsLive whether more than half of the remembered instances are live
   * @param live the live instances
   * @param counted the number of instances that were live within {@link #COUNTED}
   */
  private record Zone(List<String> names, boolean majorityIsLive, List<String> live, int counted) {
    static final Zone EMPTY = new Zone(List.of(), false, List.of(), 0);

    boolean hasMajority() {
      return 2 * live.size() > counted;
    }

    boolean hasHalf() {
      return 2 * live.size() >= counted;
    }
  }

  private RankedSenders(
      String self,
      Supplier<List<Member>> live,
      BooleanSupplier hasKnownPeers,
      InstantSource clock) {
    this.self = self;
    this.live = live;
    this.hasKnownPeers = hasKnownPeers;
    this.clock = clock;
    this.startedAt = clock.instant();
  }

  /**
   * Returns the senders as seen by an instance that starts now.
   *
   * @param self the name of this instance
   * @param live the instances considered live, including this instance
   * @param hasKnownPeers whether any other instance is known, at least by its address
   */
  public static RankedSenders create(
      String self,
      Supplier<List<Member>> live,
      BooleanSupplier hasKnownPeers,
      InstantSource clock) {
    return new RankedSenders(self, live, hasKnownPeers, clock);
  }

  @Override
  public void tick() {
    Instant now = clock.instant();
    if (now.isBefore(nextUpdate)) {
      return;
    }
    nextUpdate = now.plus(UPDATE_INTERVAL);
    List<Member> members = live.get();
    Set<String> before = Set.copyOf(roster.keySet());
    members.forEach(member -> roster.put(member.name(), new LastSeen(member.zone(), now)));
    roster.values().removeIf(seen -> now.isAfter(seen.at().plus(REMEMBERED)));
    if (!before.equals(roster.keySet())) {
      ranks.clear();
    }
    Set<String> names = members.stream().map(Member::name).collect(Collectors.toUnmodifiableSet());
    if (!names.equals(liveNames)) {
      liveNames = names;
      liveRanks.clear();
      brittleRanks.clear();
    }
    zones.clear();
    roster.values().stream()
        .map(LastSeen::zone)
        .distinct()
        .forEach(zone -> zones.put(zone, zoneOf(seen -> seen.zone().equals(zone), now)));
    allZones = zoneOf(unused -> true, now);
  }

  private Zone zoneOf(Predicate<LastSeen> predicate, Instant now) {
    List<String> names = new ArrayList<>();
    List<String> liveInZone = new ArrayList<>();
    int counted = 0;
    for (Map.Entry<String, LastSeen> entry : roster.entrySet()) {
      if (predicate.test(entry.getValue())) {
        names.add(entry.getKey());
        counted += now.isAfter(entry.getValue().at().plus(COUNTED)) ? 0 : 1;
        if (liveNames.contains(entry.getKey())) {
          liveInZone.add(entry.getKey());
        }
      }
    }
    return new Zone(names, 2 * liveInZone.size() > names.size(), liveInZone, counted);
  }

  /** Returns the senders of cold, of limited and of brittle upstreams. */
  public RateSenders senders() {
    return new RateSenders(ofColdUpstreams(), ofLimitedUpstreams(), ofBrittleUpstreams());
  }

  /** Returns the senders of cold upstreams, whose limit lasts a few seconds. */
  SenderSelection ofColdUpstreams() {
    return (upstream, zone, maximum, rotation) -> {
      Zone local = zones.getOrDefault(zone, allZones);
      if (!isSettled() || !local.majorityIsLive()) {
        return 0;
      }
      int rank = ranks.computeIfAbsent(upstream, name -> rank(name, local.names()));
      return senderCount(rank, maximum, rotation, local.names().size());
    };
  }

  /** Returns the senders of upstreams with an advertised limit, which lasts until it is revoked. */
  SenderSelection ofLimitedUpstreams() {
    return (upstream, zone, maximum, rotation) -> {
      Zone senders = limitedSenders(zones.getOrDefault(zone, Zone.EMPTY));
      if (!isSettled() || senders.live().isEmpty()) {
        return 0;
      }
      int rank = liveRanks.computeIfAbsent(upstream, name -> rank(name, senders.live()));
      return senderCount(rank, maximum, rotation, senders.live().size());
    };
  }

  /**
   * Returns the senders of brittle upstreams: the live instances of all zones, so that the loss of
   * a zone's upstreams leaves its instances others; in a partition with a minority of the
   * instances, those of the upstream's zone.
   */
  SenderSelection ofBrittleUpstreams() {
    return (upstream, zone, maximum, rotation) -> {
      Zone senders =
          allZones.hasMajority() ? allZones : limitedSenders(zones.getOrDefault(zone, Zone.EMPTY));
      if (!isSettled() || senders.live().isEmpty()) {
        return 0;
      }
      int rank = brittleRanks.computeIfAbsent(upstream, name -> rank(name, senders.live()));
      return senderCount(rank, maximum, rotation, senders.live().size());
    };
  }

  /**
   * Returns the instances that send to limited upstreams of a zone; none if instances outside this
   * partition may send. Of two equal halves of a zone, the half that sees the majority of all
   * instances sends.
   */
  private Zone limitedSenders(Zone local) {
    boolean seesMajority = allZones.hasMajority();
    if (local.live().isEmpty()) {
      return seesMajority ? allZones : Zone.EMPTY;
    }
    return local.hasMajority() || local.hasHalf() && seesMajority ? local : Zone.EMPTY;
  }

  private boolean isSettled() {
    boolean alone = roster.size() <= 1 && hasKnownPeers.getAsBoolean();
    return !alone && !clock.instant().isBefore(startedAt.plus(SETTLING_TIME));
  }

  private int rank(String upstream, List<String> names) {
    return Hashes.rendezvous(upstream, names).indexOf(self);
  }

  private static int senderCount(int rank, int maximum, long rotation, int instances) {
    long position = Math.floorMod(rank - rotation * maximum, (long) instances);
    return rank >= 0 && position < maximum ? Math.min(maximum, instances) : 0;
  }
}
