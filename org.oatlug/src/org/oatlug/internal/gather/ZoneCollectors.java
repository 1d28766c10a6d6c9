// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.util.Hashes;

/**
 * Which instance collects for each availability zone: the first by rendezvous rank that is alive
 * and answers this instance.
 *
 * <p>Invariant: one that did not answer is passed over for {@link #DOUBT}, long before it is
 * declared dead; who tells another collector loses nothing, because each message holds the whole
 * account. Owned by one event loop, not thread-safe.
 */
final class ZoneCollectors {
  /** How long a collector that did not answer is passed over: as long as a suspicion lasts. */
  private static final Duration DOUBT = Duration.ofSeconds(2);

  private final Membership membership;
  private final InstantSource clock;
  private final Map<String, Instant> doubtedUntil = new HashMap<>();
  private List<Member> rankedFrom = List.of();
  private Map<String, List<Member>> ranked = Map.of();

  private ZoneCollectors(Membership membership, InstantSource clock) {
    this.membership = membership;
    this.clock = clock;
  }

  /** Returns the collectors as the membership shows them. */
  static ZoneCollectors of(Membership membership, InstantSource clock) {
    return new ZoneCollectors(membership, clock);
  }

  /** Returns the collector of the own zone, empty if it is this instance. */
  Optional<Member> ofOwnZone() {
    String zone = membership.self().zone();
    return first(ranks().getOrDefault(zone, List.of()))
        .filter(member -> !membership.isSelf(member));
  }

  /** Returns the collectors of the other zones. */
  List<Member> ofOtherZones() {
    String own = membership.self().zone();
    return ranks().entrySet().stream()
        .filter(zone -> !zone.getKey().equals(own))
        .flatMap(zone -> first(zone.getValue()).stream())
        .toList();
  }

  /** Notes that an instance did not answer. */
  void failed(Member member) {
    doubtedUntil.put(member.name(), clock.instant().plus(DOUBT));
  }

  /** Notes that an instance answered. */
  void answered(Member member) {
    doubtedUntil.remove(member.name());
  }

  private Optional<Member> first(List<Member> candidates) {
    Instant now = clock.instant();
    return candidates.stream()
        .filter(member -> !isDoubted(member, now))
        .findFirst()
        .or(() -> candidates.stream().findFirst());
  }

  private boolean isDoubted(Member member, Instant now) {
    return now.isBefore(doubtedUntil.getOrDefault(member.name(), Instant.EPOCH));
  }

  /** Returns the candidates of each zone by rank, worked out when the members change. */
  private Map<String, List<Member>> ranks() {
    List<Member> live = membership.live();
    if (live != rankedFrom) {
      rankedFrom = live;
      Map<String, Map<String, Member>> byZone = new TreeMap<>();
      for (Member member : live) {
        if (member.state() == Member.State.ALIVE || membership.isSelf(member)) {
          byZone
              .computeIfAbsent(member.zone(), unused -> new TreeMap<>())
              .put(member.name(), member);
        }
      }
      ranked = new TreeMap<>();
      byZone.forEach((zone, members) -> ranked.put(zone, rank(zone, members)));
      doubtedUntil
          .keySet()
          .removeIf(name -> live.stream().noneMatch(one -> one.name().equals(name)));
    }
    return ranked;
  }

  private static List<Member> rank(String zone, Map<String, Member> members) {
    Collection<String> names = members.keySet();
    return Hashes.rendezvous("collector-" + zone, List.copyOf(names)).stream()
        .map(members::get)
        .toList();
  }
}
