// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.util.BoundedMap;
import org.oatlug.internal.util.Hashes;
import org.oatlug.internal.util.TickSystem;

/**
 * Lets the first few instances of an upstream's availability zone send, by rendezvous rank.
 *
 * <p>Load pattern: the upstreams of a whole zone come back together, cold, and the instances that
 * could send to them are cut off from each other, have just started or stand still. Instances have
 * to agree on the few without asking each other. So they are ranked among all that were ever live
 * in the zone and not only among those that are seen now: who is cut off ranks the same ones. An
 * instance that sees half of them or fewer sends nothing, because the others may do so; nor does
 * one that has just started and knows too few. Being wrong costs little: an upstream is cold for
 * seconds, and the warm ones answer meanwhile.
 *
 * <p>Invariant: two instances that both see more than half of the zone differ in rank only by those
 * that joined or were forgotten in between. Used from one event loop.
 */
public final class RankedColdSenders implements ColdSenders, TickSystem {
  /** How often it is noted who is live; membership itself changes within seconds. */
  private static final Duration PAUSE = Duration.ofSeconds(1);

  /**
   * How long an instance that started sends nothing: it meets the others and they it within about a
   * second, several times this often with lost messages.
   */
  static final Duration SETTLED_AFTER = Duration.ofSeconds(5);

  /** How long an instance counts that is not live any more: longer than zones are cut off. */
  static final Duration REMEMBERED = Duration.ofMinutes(10);

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
  private final Map<String, Zone> zones = new HashMap<>();

  /** All instances, for upstreams of a zone that never had one. */
  private Zone everywhere = Zone.of(List.of(), Set.of());

  private Instant nextLook = Instant.EPOCH;

  /** Where and when an instance was live. */
  private record Seen(String zone, Instant at) {}

  /** The instances of a zone that were ever live, and whether more than half of them are now. */
  private record Zone(List<String> names, boolean mostAreSeen) {
    static Zone of(List<String> names, Set<String> seen) {
      long count = names.stream().filter(seen::contains).count();
      return new Zone(names, 2 * count > names.size());
    }
  }

  private RankedColdSenders(
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
  public static RankedColdSenders create(
      String self,
      Supplier<List<Member>> live,
      BooleanSupplier knowsOfOthers,
      InstantSource clock) {
    return new RankedColdSenders(self, live, knowsOfOthers, clock);
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
    Set<String> names = seen.stream().map(Member::name).collect(Collectors.toSet());
    zones.clear();
    roster.values().forEach(one -> zones.computeIfAbsent(one.zone(), zone -> view(zone, names)));
    everywhere = Zone.of(List.copyOf(roster.keySet()), names);
  }

  private Zone view(String zone, Set<String> seen) {
    List<String> names =
        roster.entrySet().stream()
            .filter(entry -> entry.getValue().zone().equals(zone))
            .map(Map.Entry::getKey)
            .toList();
    return Zone.of(names, seen);
  }

  @Override
  public boolean isSender(String upstream, String zone, int most) {
    boolean settled = !clock.instant().isBefore(startedAt.plus(SETTLED_AFTER));
    boolean alone = roster.size() <= 1 && knowsOfOthers.getAsBoolean();
    Zone near = zones.getOrDefault(zone, everywhere);
    if (!settled || alone || !near.mostAreSeen()) {
      return false;
    }
    int rank =
        ranks.computeIfAbsent(
            upstream, name -> Hashes.rendezvous(name, near.names()).indexOf(self));
    return rank >= 0 && rank < most;
  }
}
