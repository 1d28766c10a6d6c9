// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.PromptPart;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.engine.EngineSpeeds;
import org.oatlug.internal.engine.HeadForecast;
import org.oatlug.internal.engine.OpenReading;
import org.oatlug.internal.routing.PlacementCost;
import org.oatlug.internal.routing.ZoneReach;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.util.Hashes;

/**
 * Chooses the upstream of a service that answers a request.
 *
 * <p>What is known of each upstream is put together here and weighed by {@link PlacementCost}. A
 * shared part of a prompt has a home, the same upstream for all instances, which is taken to keep
 * it; an upstream that this instance sent it to keeps it too. Invariant: an upstream that is
 * leaving, in an emptied zone, without room in a rate limit, tried or without a connection left is
 * never chosen; one that is kept out after failures only if there is no other. Owned by one event
 * loop, not thread-safe.
 */
final class UpstreamSelection {
  /** Spreads requests over upstreams of equal cost, in milliseconds. */
  private static final double SPREAD_MILLIS = 5;

  private final String zone;
  private final GatewayTables tables;
  private final EngineSpeeds speeds;
  private final OpenReading reading;
  private final ZoneReach zones;
  private final UpstreamStanding standing;
  private final Predicate<String> setApart;
  private final RandomGenerator random;

  private UpstreamSelection(
      String zone,
      GatewayTables tables,
      EngineSpeeds speeds,
      OpenReading reading,
      ZoneReach zones,
      RateGate rates,
      Predicate<String> setApart,
      RandomGenerator random) {
    this.zone = zone;
    this.tables = tables;
    this.speeds = speeds;
    this.reading = reading;
    this.zones = zones;
    this.standing = UpstreamStanding.of(tables, rates);
    this.setApart = setApart;
    this.random = random;
  }

  /**
   * Returns a selection for an instance of the zone.
   *
   * @param setApart whether an upstream has a request that has to run alone
   */
  static UpstreamSelection create(
      String zone,
      GatewayTables tables,
      EngineSpeeds speeds,
      OpenReading reading,
      ZoneReach zones,
      RateGate rates,
      Predicate<String> setApart,
      RandomGenerator random) {
    return new UpstreamSelection(zone, tables, speeds, reading, zones, rates, setApart, random);
  }

  /**
   * What an upstream is wanted for.
   *
   * @param service the service
   * @param version which versions may answer, empty for any
   * @param model the model that will answer, empty for none
   * @param generation what the request says of its prompt
   * @param bodyBytes the size of the request
   * @param excluded upstreams that were tried
   * @param alone whether the request is to run where nothing else does
   */
  record Wanted(
      String service,
      Optional<VersionRule.Wish> version,
      Optional<String> model,
      Optional<Generation> generation,
      int bodyBytes,
      Set<String> excluded,
      boolean alone) {
    private boolean isMetBy(UpstreamRecord upstream) {
      return version.map(wish -> wish.isMetBy(upstream.version())).orElse(true);
    }

    /** Returns the same for another model. */
    Wanted of(String other) {
      return new Wanted(
          service, version, Optional.of(other), generation, bodyBytes, excluded, alone);
    }
  }

  /** An upstream of a service, with what this instance knows of it. */
  private record Candidate(String name, UpstreamRecord upstream, UpstreamRow row) {}

  /**
   * An upstream that can be chosen.
   *
   * @param name its name
   * @param upstream its entry
   * @param row what this instance knows of it
   * @param forecast what is expected there until the answer begins
   * @param costMillis what it costs to choose it, in milliseconds
   */
  record Chosen(
      String name,
      UpstreamRecord upstream,
      UpstreamRow row,
      HeadForecast forecast,
      double costMillis) {}

  /**
   * Returns the cheapest upstream, empty if there is none; the one with the least to lose for a
   * request that runs alone.
   */
  Optional<Chosen> choose(Wanted wanted, Instant now) {
    Comparator<Chosen> byCost = Comparator.comparingDouble(Chosen::costMillis);
    Comparator<Chosen> order = wanted.alone() ? leastOpen(now).thenComparing(byCost) : byCost;
    return costs(wanted, now).stream().min(order);
  }

  private Comparator<Chosen> leastOpen(Instant now) {
    return Comparator.<Chosen, Boolean>comparing(one -> one.row().ejected(now))
        .thenComparing(one -> setApart.test(one.name()))
        .thenComparing(one -> one.row().expectedLoad());
  }

  /** Returns the upstreams that can be chosen, with their costs, in no order. */
  List<Chosen> costs(Wanted wanted, Instant now) {
    List<Candidate> candidates = candidates(wanted, now);
    String home = homeOf(wanted, candidates);
    Optional<Prompt> prompt =
        wanted.generation().map(text -> Prompt.of(wanted.model().orElse(""), text));
    List<Chosen> costs = new ArrayList<>();
    for (Candidate candidate : candidates) {
      HeadForecast forecast =
          prompt.map(text -> forecast(candidate, text, home, now)).orElse(HeadForecast.NONE);
      double cost = PlacementCost.of(place(candidate, forecast, now), wanted.bodyBytes());
      double spread = random.nextDouble() * SPREAD_MILLIS;
      costs.add(
          new Chosen(
              candidate.name(), candidate.upstream(), candidate.row(), forecast, cost + spread));
    }
    return costs;
  }

  /** Returns whether upstreams may get requests. */
  UpstreamStanding standing() {
    return standing;
  }

  private HeadForecast forecast(Candidate candidate, Prompt prompt, String home, Instant now) {
    Unread unread = prompt.unreadAt(candidate, home);
    double slowness = speeds.slownessOf(candidate.row().process(), now);
    double waiting = reading.waitingMillis(candidate.row().process(), now);
    double own = speeds.lineOf(prompt.model()).millisFor(unread.tokens());
    return new HeadForecast(slowness * waiting, slowness * own, unread.tokens(), unread.certain());
  }

  private PlacementCost.Place place(Candidate candidate, HeadForecast forecast, Instant now) {
    boolean otherZone = !candidate.upstream().zone().equals(zone);
    boolean cutOff = otherZone && zones.isCutOff(candidate.upstream().zone(), now);
    return new PlacementCost.Place(
        forecast,
        tables.loads().estimatedLoad(candidate.row()),
        Math.max(1, candidate.upstream().slots()),
        otherZone,
        candidate.row().failureShare(now),
        candidate.row().isCold(now),
        cutOff || candidate.row().ejected(now) || setApart.test(candidate.name()));
  }

  /**
   * Returns the upstreams that can be chosen: of the versions that are wished and ordered, else of
   * those that are wished, else of any if the wish gives way.
   */
  private List<Candidate> candidates(Wanted wanted, Instant now) {
    List<Candidate> wished =
        usable(wanted, one -> wanted.isMetBy(one) && !tables.isUnordered(one), now);
    if (wished.isEmpty()) {
      wished = usable(wanted, wanted::isMetBy, now);
    }
    return wished.isEmpty() && givesWay(wanted) ? usable(wanted, unused -> true, now) : wished;
  }

  private boolean givesWay(Wanted wanted) {
    VersionRule.Firmness firmness =
        wanted.version().map(VersionRule.Wish::firmness).orElse(VersionRule.Firmness.REQUIRED);
    return switch (firmness) {
      case PREFERRED -> true;
      case KEPT ->
          tables.upstreamsOf(wanted.service()).stream().noneMatch(one -> keeps(wanted, one));
      case REQUIRED -> false;
    };
  }

  /** Returns whether the upstream is of a wished version and stays, if others were tried or not. */
  private boolean keeps(Wanted wanted, String name) {
    UpstreamRecord upstream = tables.upstream(name).orElseThrow();
    return wanted.isMetBy(upstream) && !tables.isLeaving(name) && !tables.isEmptied(upstream);
  }

  private List<Candidate> usable(Wanted wanted, Predicate<UpstreamRecord> fits, Instant now) {
    List<Candidate> candidates = new ArrayList<>();
    int most = standing.mostConnections(wanted.service());
    for (String name : tables.upstreamsOf(wanted.service())) {
      UpstreamRecord upstream = tables.upstream(name).orElseThrow();
      UpstreamRow row = tables.row(name);
      boolean fitting = !wanted.excluded().contains(name) && fits.test(upstream);
      if (fitting && standing.outOf(upstream, row, most, now).isEmpty()) {
        candidates.add(new Candidate(name, upstream, row));
      }
    }
    return candidates;
  }

  /**
   * Returns the upstream that keeps the shared part of the prompt: one for all zones if reading the
   * part again takes longer than the way into another zone costs, else one of the own zone.
   */
  private String homeOf(Wanted wanted, List<Candidate> candidates) {
    List<PromptPart> parts = wanted.generation().map(Generation::prompt).orElse(List.of());
    if (parts.size() < 2) {
      return "";
    }
    int sharedTokens = parts.stream().limit(parts.size() - 1L).mapToInt(PromptPart::tokens).sum();
    double again = speeds.lineOf(wanted.model().orElse("")).millisPerToken() * sharedTokens;
    boolean anyZone = again > PlacementCost.otherZoneOfEngine(wanted.bodyBytes());
    long shared = parts.get(parts.size() - 2).hash();
    String home = "";
    long highest = Long.MIN_VALUE;
    for (Candidate candidate : candidates) {
      long rank = candidate.row().rankFor(shared);
      boolean near = anyZone || candidate.upstream().zone().equals(zone);
      if (near && rank > highest) {
        highest = rank;
        home = candidate.name();
      }
    }
    return home;
  }

  /** Remembers that the upstream reads the prompt for the model. */
  static void rememberPrompt(UpstreamRow row, String model, Generation generation) {
    Prompt.of(model, generation).cacheKeys().forEach(row::rememberPrefix);
  }

  /**
   * The part of a prompt that an upstream has to read.
   *
   * @param tokens its size
   * @param certain whether that is known, and not only hoped
   */
  private record Unread(double tokens, boolean certain) {}

  /**
   * A prompt as the caches of one model know it.
   *
   * @param model the model
   * @param generation what the request says of its prompt
   * @param cacheKeys the keys of its parts, which are other ones for another model
   */
  private record Prompt(String model, Generation generation, List<Long> cacheKeys) {
    static Prompt of(String model, Generation generation) {
      long hash = Hashes.hash64(model);
      List<Long> keys =
          generation.prompt().stream().map(part -> Hashes.combine(hash, part.hash())).toList();
      return new Prompt(model, generation, keys);
    }

    /** Returns what the upstream probably has to read; the home is taken to keep what is shared. */
    Unread unreadAt(Candidate candidate, String home) {
      int kept = 0;
      boolean certain = true;
      for (int index = 0; index < cacheKeys.size(); index++) {
        boolean known = candidate.row().hasPrefix(cacheKeys.get(index));
        boolean shared = index < cacheKeys.size() - 1;
        boolean hoped = shared && candidate.name().equals(home);
        if (!known && !hoped) {
          break;
        }
        certain &= known;
        kept += generation.prompt().get(index).tokens();
      }
      return new Unread(Math.max(0, generation.promptTokens() - kept), certain);
    }
  }
}
