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
 * Selects the collector of each availability zone: the first instance by rendezvous rank that is
 * alive and responds to this instance.
 *
 * <p>Invariant: an instance that did not respond is skipped for {@link #EXCLUSION}, long before it
 * is declared dead; if all of a zone are skipped, the first is selected all the same; reporting to
 * another collector loses nothing, because each message carries the whole report. Owned by one
 * event loop, not thread-safe.
 */
final class ZoneCollectors {
  /** The time for which an unresponsive collector is skipped: as long as a suspicion lasts. */
  private static final Duration EXCLUSION = Duration.ofSeconds(2);

  private final Membership membership;
  private final InstantSource clock;
  private final Map<String, Instant> excludedUntil = new HashMap<>();
  private List<Member> membersWhenRanked = List.of();
  private Map<String, List<Member>> rankedCandidates = Map.of();

  private ZoneCollectors(Membership membership, InstantSource clock) {
    this.membership = membership;
    this.clock = clock;
  }

  /** Returns the collectors among the live members. */
  static ZoneCollectors of(Membership membership, InstantSource clock) {
    return new ZoneCollectors(membership, clock);
  }

  /** Returns the collector of this zone, empty if this instance is the collector. */
  Optional<Member> ofOwnZone() {
    String zone = membership.self().zone();
    return select(rankedByZone().getOrDefault(zone, List.of()))
        .filter(member -> !membership.isSelf(member));
  }

  /** Returns the collectors of the other zones. */
  List<Member> ofOtherZones() {
    String own = membership.self().zone();
    return rankedByZone().entrySet().stream()
        .filter(zone -> !zone.getKey().equals(own))
        .flatMap(zone -> select(zone.getValue()).stream())
        .toList();
  }

  /** Records that an instance did not respond. */
  void failed(Member member) {
    excludedUntil.put(member.name(), clock.instant().plus(EXCLUSION));
  }

  /** Records that an instance responded. */
  void responded(Member member) {
    excludedUntil.remove(member.name());
  }

  private Optional<Member> select(List<Member> candidates) {
    Instant now = clock.instant();
    return candidates.stream()
        .filter(member -> !isExcluded(member, now))
        .findFirst()
        .or(() -> candidates.stream().findFirst());
  }

  private boolean isExcluded(Member member, Instant now) {
    return now.isBefore(excludedUntil.getOrDefault(member.name(), Instant.EPOCH));
  }

  /** Returns the ranked candidates of each zone, recomputed when the members change. */
  private Map<String, List<Member>> rankedByZone() {
    List<Member> live = membership.live();
    if (live != membersWhenRanked) {
      membersWhenRanked = live;
      Map<String, Map<String, Member>> byZone = new TreeMap<>();
      for (Member member : live) {
        if (member.state() == Member.State.ALIVE || membership.isSelf(member)) {
          byZone
              .computeIfAbsent(member.zone(), unused -> new TreeMap<>())
              .put(member.name(), member);
        }
      }
      rankedCandidates = new TreeMap<>();
      byZone.forEach((zone, members) -> rankedCandidates.put(zone, rank(zone, members)));
      excludedUntil
          .keySet()
          .removeIf(name -> live.stream().noneMatch(member -> member.name().equals(name)));
    }
    return rankedCandidates;
  }

  private static List<Member> rank(String zone, Map<String, Member> members) {
    Collection<String> names = members.keySet();
    return Hashes.rendezvous("collector-" + zone, List.copyOf(names)).stream()
        .map(members::get)
        .toList();
  }
}
