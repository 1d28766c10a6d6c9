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
 * Assigns each upstream the first few instances of its availability zone, by rendezvous rank.
 *
 * <p>Load pattern: the upstreams of a whole zone come back together, cold, and the instances that
 * could send to them are cut off from each other, have just started or stand still. Instances have
 * to agree on the few without asking each other. An instance that sees half of the others or fewer
 * sends nothing, because the others may do so; nor does one that has just started and knows too
 * few.
 *
 * <p>For cold upstreams all are ranked that were ever live in the zone and not only those that are
 * seen now: who is cut off ranks the same ones, and what is lost with an instance that is gone is
 * lost for seconds. A limit that an upstream advertises may last for long and ends only by an
 * answer, so for these the live ones are ranked, those of other zones if the zone has none.
 *
 * <p>Invariant: two instances that both see more than half of the zone differ in rank only by those
 * that joined, left or were forgotten in between. Used from one event loop.
 */
public final class RankedSenders implements TickSystem {
  /** How often it is noted who is live; membership itself changes within seconds. */
  private static final Duration PAUSE = Duration.ofSeconds(1);

  /**
   * How long an instance that started sends nothing: it meets the others and they it within about a
   * second, several times this often with lost messages.
   */
  static final Duration SETTLED_AFTER = Duration.ofSeconds(5);

  /** How long an instance counts that is not live any more: longer than zones are cut off. */
  static final Duration REMEMBERED = Duration.ofMinutes(10);

  /**
   * How long an instance that is not live counts in the majority that is needed to send to an
   * upstream with an advertised limit: longer than a restart takes, so that replaced instances do
   * not block those that replace them.
   */
  private static final Duration COUNTED = Duration.ofMinutes(1);

  /** Several times the instances of the design size, which is about 1,300. */
  private static final int MOST_REMEMBERED = 8192;

  /** Upstreams whose rank is kept until somebody joins; all that are cold at the design size. */
  private static final int MOST_RANKED = 2048;

  private final String self;
  private final Supplier<List<Member>> live;
  private final BooleanSupplier knowsOfOthers;
  private final InstantSource clock;
  private final Instant startedAt;
  private final Map<String, Seen> roster = BoundedMap.ofMost(MOST_REMEMBERED);
  private final Map<String, Integer> ranks = BoundedMap.ofMost(MOST_RANKED);
  private final Map<String, Integer> liveRanks = BoundedMap.ofMost(MOST_RANKED);
  private final Map<String, Zone> zones = new HashMap<>();

  /** All instances, for upstreams of a zone that never had one. */
  private Zone everywhere = Zone.NOBODY;

  private Set<String> liveNames = Set.of();
  private Instant nextLook = Instant.EPOCH;

  /** Where and when an instance was live. */
  private record Seen(String zone, Instant at) {}

  /**
   * The instances of a zone, or of all.
   *
   * @param names those that were ever live
   * @param mostAreSeen whether more than half of them are live now
   * @param live those that are live now
   * @param counted how many were live of late
   */
  private record Zone(List<String> names, boolean mostAreSeen, List<String> live, int counted) {
    static final Zone NOBODY = new Zone(List.of(), false, List.of(), 0);

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
      BooleanSupplier knowsOfOthers,
      InstantSource clock) {
    this.self = self;
    this.live = live;
    this.knowsOfOthers = knowsOfOthers;
    this.clock = clock;
    this.startedAt = clock.instant();
  }

  /**
   * Returns the senders as an instance that starts now sees them.
   *
   * @param self the name of this instance
   * @param live the instances that are believed to live, this one included
   * @param knowsOfOthers whether other instances are known, if only by an address
   */
  public static RankedSenders create(
      String self,
      Supplier<List<Member>> live,
      BooleanSupplier knowsOfOthers,
      InstantSource clock) {
    return new RankedSenders(self, live, knowsOfOthers, clock);
  }

  @Override
  public void tick() {
    Instant now = clock.instant();
    if (now.isBefore(nextLook)) {
      return;
    }
    nextLook = now.plus(PAUSE);
    List<Member> seen = live.get();
    Set<String> before = Set.copyOf(roster.keySet());
    seen.forEach(member -> roster.put(member.name(), new Seen(member.zone(), now)));
    roster.values().removeIf(one -> now.isAfter(one.at().plus(REMEMBERED)));
    if (!before.equals(roster.keySet())) {
      ranks.clear();
    }
    Set<String> names = seen.stream().map(Member::name).collect(Collectors.toUnmodifiableSet());
    if (!names.equals(liveNames)) {
      liveNames = names;
      liveRanks.clear();
    }
    zones.clear();
    roster.values().stream()
        .map(Seen::zone)
        .distinct()
        .forEach(zone -> zones.put(zone, view(one -> one.zone().equals(zone), now)));
    everywhere = view(unused -> true, now);
  }

  private Zone view(Predicate<Seen> isIn, Instant now) {
    List<String> names = new ArrayList<>();
    List<String> seen = new ArrayList<>();
    int counted = 0;
    for (Map.Entry<String, Seen> entry : roster.entrySet()) {
      if (isIn.test(entry.getValue())) {
        names.add(entry.getKey());
        counted += now.isAfter(entry.getValue().at().plus(COUNTED)) ? 0 : 1;
        if (liveNames.contains(entry.getKey())) {
          seen.add(entry.getKey());
        }
      }
    }
    return new Zone(names, 2 * seen.size() > names.size(), seen, counted);
  }

  /** Returns the senders that all instances agree on. */
  public RateSenders senders() {
    return new RateSenders(ofColdUpstreams(), ofLimitedUpstreams());
  }

  /** Returns the senders of cold upstreams, whose limit holds for a few seconds. */
  SenderSelection ofColdUpstreams() {
    return (upstream, zone, most, turn) -> {
      Zone near = zones.getOrDefault(zone, everywhere);
      if (!isSettled() || !near.mostAreSeen()) {
        return 0;
      }
      int rank = ranks.computeIfAbsent(upstream, name -> rank(name, near.names()));
      return sharers(rank, most, turn, near.names().size());
    };
  }

  /** Returns the senders of upstreams that advertise a limit, which holds until they say so. */
  SenderSelection ofLimitedUpstreams() {
    return (upstream, zone, most, turn) -> {
      Zone senders = sendersOf(zones.getOrDefault(zone, Zone.NOBODY));
      if (!isSettled() || senders.live().isEmpty()) {
        return 0;
      }
      int rank = liveRanks.computeIfAbsent(upstream, name -> rank(name, senders.live()));
      return sharers(rank, most, turn, senders.live().size());
    };
  }

  /**
   * Returns the instances that send to limited upstreams of a zone, nobody if others may take
   * themselves for these. Of two halves of a zone the one that is with most of all others sends.
   */
  private Zone sendersOf(Zone near) {
    boolean withMost = everywhere.hasMajority();
    if (near.live().isEmpty()) {
      return withMost ? everywhere : Zone.NOBODY;
    }
    return near.hasMajority() || near.hasHalf() && withMost ? near : Zone.NOBODY;
  }

  private boolean isSettled() {
    boolean alone = roster.size() <= 1 && knowsOfOthers.getAsBoolean();
    return !alone && !clock.instant().isBefore(startedAt.plus(SETTLED_AFTER));
  }

  private int rank(String upstream, List<String> names) {
    return Hashes.rendezvous(upstream, names).indexOf(self);
  }

  private static int sharers(int rank, int most, long turn, int instances) {
    long place = Math.floorMod(rank - turn * most, (long) instances);
    return rank >= 0 && place < most ? Math.min(most, instances) : 0;
  }
}
