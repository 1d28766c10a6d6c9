// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.PromptPart;
import org.oatlug.gateway.ServiceDefinition;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.util.Hashes;

/**
 * Chooses the upstream of a service that answers a request.
 *
 * <p>The cost of an upstream is the time that the request would wait and read its prompt there, as
 * far as this instance knows. Own availability zone first: another one costs a fixed time more,
 * because bytes between zones are dear. Invariant: an upstream that is leaving, was tried or has no
 * connection left is never chosen; one that is kept out after failures only if there is no other.
 * Owned by one event loop, not thread-safe.
 */
final class UpstreamSelection {
  /** What a request in another zone costs more, in milliseconds; from the price of the bytes. */
  private static final double OTHER_ZONE_MILLIS = 400;

  /** What a fully used upstream costs more than an empty one, in milliseconds. */
  private static final double FULL_LOAD_MILLIS = 300;

  /** What each request beyond the slots of an upstream costs, in milliseconds. */
  private static final double WAITING_MILLIS = 100;

  /** What an upstream that is kept out costs, in milliseconds: more than any load. */
  private static final double KEPT_OUT_MILLIS = 100_000;

  /** Prompt tokens that an engine reads in a millisecond; from the deployments' sheets. */
  private static final double TOKENS_PER_MILLI = 112;

  /**
   * What an upstream costs more that fails every request, in milliseconds: a failure takes an
   * attempt, its time and a part of the retry budget. Measured on the days of both sites.
   */
  private static final double FAILING_MILLIS = 800;

  /** Spreads requests over upstreams of equal cost, in milliseconds. */
  private static final double SPREAD_MILLIS = 5;

  private final String zone;
  private final GatewayTables tables;
  private final RandomGenerator random;

  private UpstreamSelection(String zone, GatewayTables tables, RandomGenerator random) {
    this.zone = zone;
    this.tables = tables;
    this.random = random;
  }

  /** Returns a selection for an instance of the zone. */
  static UpstreamSelection create(String zone, GatewayTables tables, RandomGenerator random) {
    return new UpstreamSelection(zone, tables, random);
  }

  /**
   * What an upstream is wanted for.
   *
   * @param service the service
   * @param version which versions may answer, empty for any
   * @param model the model that will answer, empty for none
   * @param generation what the request says of its prompt
   * @param excluded upstreams that were tried
   */
  record Wanted(
      String service,
      Optional<VersionRule.Wish> version,
      Optional<String> model,
      Optional<Generation> generation,
      Set<String> excluded) {}

  /** A chosen upstream. */
  record Chosen(String name, UpstreamRecord upstream, UpstreamRow row) {}

  /**
   * An upstream that can be chosen.
   *
   * @param candidate the upstream
   * @param millis what it costs to choose it, in milliseconds
   */
  record Costed(Chosen candidate, double millis) {}

  /** Returns the cheapest upstream, empty if there is none. */
  Optional<Chosen> choose(Wanted wanted, Instant now) {
    return costs(wanted, now).stream()
        .min(Comparator.comparingDouble(Costed::millis))
        .map(Costed::candidate);
  }

  /** Returns the upstreams that can be chosen, with their costs, in no order. */
  List<Costed> costs(Wanted wanted, Instant now) {
    List<Chosen> candidates = candidates(wanted, true);
    if (candidates.isEmpty() && !wanted.version().map(VersionRule.Wish::strict).orElse(true)) {
      candidates = candidates(wanted, false);
    }
    List<Costed> costs = new ArrayList<>();
    String home = homeOf(wanted, candidates);
    Optional<Prompt> prompt =
        wanted.generation().map(text -> Prompt.of(wanted.model().orElse(""), text));
    for (Chosen candidate : candidates) {
      double unread = prompt.map(read -> read.uncachedTokens(candidate, home)).orElse(0.0);
      costs.add(new Costed(candidate, cost(candidate, now) + unread / TOKENS_PER_MILLI));
    }
    return costs;
  }

  private List<Chosen> candidates(Wanted wanted, boolean asWished) {
    List<Chosen> candidates = new ArrayList<>();
    int most = mostConnections(wanted.service());
    for (String name : tables.upstreamsOf(wanted.service())) {
      UpstreamRecord upstream = tables.upstream(name).orElseThrow();
      UpstreamRow row = tables.loads().row(name);
      boolean usable = !upstream.leaving() && !row.leaving() && !wanted.excluded().contains(name);
      boolean fits =
          !asWished || wanted.version().map(w -> w.isMetBy(upstream.version())).orElse(true);
      if (usable && fits && row.expectedLoad() < most) {
        candidates.add(new Chosen(name, upstream, row));
      }
    }
    return candidates;
  }

  /** Returns how many connections an upstream takes; each open request has its own. */
  private int mostConnections(String service) {
    int most = tables.service(service).map(ServiceDefinition::maximumConnections).orElse(0);
    return most > 0 ? most : Integer.MAX_VALUE;
  }

  private double cost(Chosen candidate, Instant now) {
    int slots = Math.max(1, candidate.upstream().slots());
    double load = tables.loads().estimatedLoad(candidate.row());
    double cost = FULL_LOAD_MILLIS * load / slots + random.nextDouble() * SPREAD_MILLIS;
    cost += WAITING_MILLIS * Math.max(0, load + 1 - slots);
    if (!candidate.upstream().zone().equals(zone)) {
      cost += OTHER_ZONE_MILLIS;
    }
    cost += FAILING_MILLIS * candidate.row().failureShare(now);
    if (candidate.row().ejected(now)) {
      cost += KEPT_OUT_MILLIS;
    }
    return cost;
  }

  /** Returns the upstream of the own zone that all instances prefer for the shared prompt. */
  private String homeOf(Wanted wanted, List<Chosen> candidates) {
    List<PromptPart> parts = wanted.generation().map(Generation::prompt).orElse(List.of());
    if (parts.size() < 2) {
      return "";
    }
    long shared = parts.get(parts.size() - 2).hash();
    String home = "";
    long highest = Long.MIN_VALUE;
    for (Chosen candidate : candidates) {
      long rank = candidate.row().rankFor(shared);
      if (candidate.upstream().zone().equals(zone) && rank > highest) {
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
   * A prompt as the caches of one model know it.
   *
   * @param generation what the request says of its prompt
   * @param cacheKeys the keys of its parts, which are other ones for another model
   */
  private record Prompt(Generation generation, List<Long> cacheKeys) {
    static Prompt of(String model, Generation generation) {
      long hash = Hashes.hash64(model);
      List<Long> keys =
          generation.prompt().stream().map(part -> Hashes.combine(hash, part.hash())).toList();
      return new Prompt(generation, keys);
    }

    /** Returns the prompt tokens that the upstream probably has to read. */
    double uncachedTokens(Chosen candidate, String home) {
      int cached = 0;
      for (int index = 0; index < cacheKeys.size(); index++) {
        boolean known = candidate.row().hasPrefix(cacheKeys.get(index));
        if (!known && !candidate.name().equals(home)) {
          break;
        }
        cached += generation.prompt().get(index).tokens();
      }
      return Math.max(0, generation.promptTokens() - cached);
    }
  }
}
