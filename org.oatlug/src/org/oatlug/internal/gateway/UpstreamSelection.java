// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.PromptPart;
import org.oatlug.gateway.UpstreamRecord;
import org.oatlug.internal.engine.FirstTokenForecast;
import org.oatlug.internal.engine.PrefillBacklog;
import org.oatlug.internal.engine.PrefillEstimates;
import org.oatlug.internal.engine.PrefillTimeModel;
import org.oatlug.internal.routing.PlacementCost;
import org.oatlug.internal.routing.PredictedResponseCost;
import org.oatlug.internal.routing.SampledChoice;
import org.oatlug.internal.routing.ZoneReachability;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.util.Hashes;

/**
 * Selects the upstream of a service for a request.
 *
 * <p>Collects the state of each upstream and computes its cost with {@link PlacementCost}. A shared
 * prompt prefix has a home upstream, which is the same on all instances and is assumed to have the
 * prefix cached; so is any upstream to which this instance has sent the prefix. Invariant: an
 * upstream is never selected if it is leaving, is in an evacuated zone, has exhausted a rate limit,
 * has already been tried or has no free connection; one that is ejected after failures is selected
 * only if there is no alternative. Owned by one event loop, not thread-safe.
 */
final class UpstreamSelection {
  /** Maximum random cost, in milliseconds, that distributes requests over equal upstreams. */
  private static final double JITTER_MILLIS = 5;

  /** The candidates drawn besides the preferred ones, so that these are left when overloaded. */
  private static final int MAXIMUM_OTHERS_DRAWN = 2;

  /** The success share that an upstream is assumed to have, so that it is still tried. */
  private static final double MINIMUM_SUCCESS = 0.05;

  /** The share of its capacity that a cold upstream is assumed to have. */
  private static final double COLD_WEIGHT = 0.25;

  private final String zone;
  private final GatewayTables tables;
  private final PrefillEstimates prefillEstimates;
  private final PrefillBacklog prefillBacklog;
  private final ZoneReachability zones;
  private final UpstreamEligibility eligibility;
  private final UpstreamPacing pacing;
  private final Predicate<String> hasSuspect;
  private final RandomGenerator random;

  private UpstreamSelection(
      String zone,
      GatewayTables tables,
      PrefillEstimates prefillEstimates,
      PrefillBacklog prefillBacklog,
      ZoneReachability zones,
      UpstreamRateLimits rates,
      UpstreamPacing pacing,
      Predicate<String> hasSuspect,
      RandomGenerator random) {
    this.zone = zone;
    this.tables = tables;
    this.prefillEstimates = prefillEstimates;
    this.prefillBacklog = prefillBacklog;
    this.zones = zones;
    this.eligibility = UpstreamEligibility.of(tables, rates);
    this.pacing = pacing;
    this.hasSuspect = hasSuspect;
    this.random = random;
  }

  /**
   * Returns a selection for an instance in the availability zone.
   *
   * @param hasSuspect whether an upstream runs a request that is suspected of crashing upstreams
   */
  static UpstreamSelection create(
      String zone,
      GatewayTables tables,
      PrefillEstimates prefillEstimates,
      PrefillBacklog prefillBacklog,
      ZoneReachability zones,
      UpstreamRateLimits rates,
      UpstreamPacing pacing,
      Predicate<String> hasSuspect,
      RandomGenerator random) {
    return new UpstreamSelection(
        zone, tables, prefillEstimates, prefillBacklog, zones, rates, pacing, hasSuspect, random);
  }

  /**
   * The criteria by which an upstream is selected for a request.
   *
   * @param service the service
   * @param version the version preference, empty if any version may answer
   * @param model the model that generates the response, empty for none
   * @param generation the declared prompt and output sizes, empty if the request generates nothing
   * @param bodyBytes the size of the request body in bytes
   * @param excluded the upstreams that have already been tried
   * @param isolated whether the request has to run isolated from other requests
   * @param goalMillis the time within which the response has its full value, in milliseconds
   * @param preference the upstreams that the request prefers
   */
  record Criteria(
      String service,
      Optional<VersionRule.VersionPreference> version,
      Optional<String> model,
      Optional<Generation> generation,
      int bodyBytes,
      Set<String> excluded,
      boolean isolated,
      long goalMillis,
      PlacementPreference preference) {
    /** Creates criteria without a preference among upstreams. */
    Criteria(
        String service,
        Optional<VersionRule.VersionPreference> version,
        Optional<String> model,
        Optional<Generation> generation,
        int bodyBytes,
        Set<String> excluded,
        boolean isolated,
        long goalMillis) {
      this(
          service,
          version,
          model,
          generation,
          bodyBytes,
          excluded,
          isolated,
          goalMillis,
          PlacementPreference.NONE);
    }

    private boolean matchesVersion(UpstreamRecord upstream) {
      return version.map(preference -> preference.isSatisfiedBy(upstream.version())).orElse(true);
    }

    /** Returns the same criteria for another model. */
    Criteria withModel(String newModel) {
      return new Criteria(
          service,
          version,
          Optional.of(newModel),
          generation,
          bodyBytes,
          excluded,
          isolated,
          goalMillis,
          preference);
    }
  }

  /** An eligible upstream of a service and the state that this instance has observed. */
  private record Candidate(String name, UpstreamRecord upstream, UpstreamRow row) {}

  /**
   * An upstream that can be selected, with its cost.
   *
   * @param name the name of the upstream
   * @param upstream its registration
   * @param row the state that this instance has observed
   * @param forecast the predicted time until the response begins
   * @param costMillis the placement cost in milliseconds
   * @param applied how its pace entered the cost
   * @param preferred whether the request prefers it and it is not avoided
   */
  record CostedUpstream(
      String name,
      UpstreamRecord upstream,
      UpstreamRow row,
      FirstTokenForecast forecast,
      double costMillis,
      UpstreamPacing.Applied applied,
      boolean preferred) {
    private CostedUpstream withTieBroken() {
      return new CostedUpstream(
          name, upstream, row, forecast, costMillis, applied.withTieBroken(), preferred);
    }
  }

  /**
   * Returns the upstream with the lowest cost, empty if none is eligible. If the pace of upstreams
   * is in use, these are the upstreams of a random sample, see {@link SampledChoice}. For a request
   * that runs isolated, upstreams that are not ejected and run no suspect come first, then those
   * with the lowest load, so that a crash affects few requests.
   */
  Optional<CostedUpstream> choose(Criteria criteria, Instant now) {
    return choose(criteria, now, unused -> true);
  }

  /** Returns the upstream with the lowest cost among those that satisfy the condition. */
  Optional<CostedUpstream> choose(
      Criteria criteria, Instant now, Predicate<CostedUpstream> condition) {
    Comparator<CostedUpstream> byCost = Comparator.comparingDouble(CostedUpstream::costMillis);
    Comparator<CostedUpstream> order =
        criteria.isolated() ? byLowestLoad(now).thenComparing(byCost) : byCost;
    boolean sampled = !criteria.isolated() && pacing.isActive(criteria.service());
    return sampled
        ? chooseSampled(criteria, now, condition)
        : costs(criteria, now).stream().filter(condition).min(order);
  }

  /** Computes the costs of the drawn candidates only, which saves most of the processor time. */
  private Optional<CostedUpstream> chooseSampled(
      Criteria criteria, Instant now, Predicate<CostedUpstream> condition) {
    List<Candidate> candidates = candidates(criteria, now);
    ToDoubleFunction<String> additionalMillis = additionalMillis(criteria, candidates, now);
    String home = homeOf(criteria, candidates, additionalMillis);
    Map<Boolean, List<Candidate>> byPreference =
        candidates.stream()
            .collect(
                Collectors.partitioningBy(
                    candidate -> isPreferred(candidate, additionalMillis, now)));
    List<Candidate> drawn = new ArrayList<>(draw(criteria, byPreference.get(true), home, now));
    draw(criteria, byPreference.get(false), home, now).stream()
        .limit(drawn.isEmpty() ? Long.MAX_VALUE : MAXIMUM_OTHERS_DRAWN)
        .forEach(drawn::add);
    List<CostedUpstream> satisfying =
        costsOf(criteria, drawn, home, additionalMillis, now).stream().filter(condition).toList();
    if (satisfying.isEmpty()) {
      return costsOf(criteria, candidates, home, additionalMillis, now).stream()
          .filter(condition)
          .min(Comparator.comparingDouble(CostedUpstream::costMillis));
    }
    List<SampledChoice.Option<CostedUpstream>> options = new ArrayList<>();
    for (CostedUpstream costed : satisfying) {
      options.add(
          new SampledChoice.Option<>(
              costed,
              costed.costMillis(),
              costed.applied().slowdown(),
              !costed.upstream().zone().equals(zone)));
    }
    return SampledChoice.best(options)
        .map(choice -> choice.tieBroken() ? choice.value().withTieBroken() : choice.value());
  }

  private List<Candidate> draw(
      Criteria criteria, List<Candidate> candidates, String home, Instant now) {
    return candidates.isEmpty()
        ? List.of()
        : SampledChoice.draw(drawable(criteria, candidates, home, now), random);
  }

  private boolean isPreferred(
      Candidate candidate, ToDoubleFunction<String> additionalMillis, Instant now) {
    return additionalMillis.applyAsDouble(candidate.name()) <= 0 && !isAvoided(candidate, now);
  }

  /**
   * Returns the additional cost of each candidate by the preference of the request, relative to the
   * most preferred one that is not avoided.
   */
  private ToDoubleFunction<String> additionalMillis(
      Criteria criteria, List<Candidate> candidates, Instant now) {
    PlacementPreference preference = criteria.preference();
    if (preference == PlacementPreference.NONE) {
      return preference::additionalMillis;
    }
    double lowest =
        candidates.stream()
            .filter(candidate -> !isAvoided(candidate, now))
            .mapToDouble(candidate -> preference.additionalMillis(candidate.name()))
            .min()
            .orElse(0);
    return name -> Math.max(0, preference.additionalMillis(name) - lowest);
  }

  private List<SampledChoice.Candidate<Candidate>> drawable(
      Criteria criteria, List<Candidate> candidates, String home, Instant now) {
    Optional<Prompt> prompt = promptOf(criteria);
    double[] uncached =
        candidates.stream()
            .mapToDouble(
                candidate ->
                    prompt.map(value -> value.uncachedAt(candidate, home).tokens()).orElse(0.0))
            .toArray();
    double fewest = Arrays.stream(uncached).min().orElse(0);
    int promptTokens = criteria.generation().map(Generation::promptTokens).orElse(0);
    List<SampledChoice.Candidate<Candidate>> drawable = new ArrayList<>();
    for (int index = 0; index < uncached.length; index++) {
      Candidate candidate = candidates.get(index);
      drawable.add(
          new SampledChoice.Candidate<>(
              candidate,
              weightOf(candidate, now),
              !candidate.upstream().zone().equals(zone),
              fewest < promptTokens && uncached[index] <= fewest,
              isAvoided(candidate, now)));
    }
    return drawable;
  }

  /**
   * Returns the relative probability that an upstream is drawn, reduced for failures and a cold
   * start, so that two failing upstreams are seldom drawn together. It follows the square root of
   * the pace, because the cost of those drawn follows the pace as well: the whole pace would assign
   * too many requests to fast engines.
   */
  private double weightOf(Candidate candidate, Instant now) {
    double success = Math.max(MINIMUM_SUCCESS, 1 - candidate.row().failureShare(now));
    double capacity = slotsOf(candidate) / Math.sqrt(pacing.lastingPaceOf(candidate.row(), now));
    return capacity * success * success * (candidate.row().isCold(now) ? COLD_WEIGHT : 1);
  }

  private Comparator<CostedUpstream> byLowestLoad(Instant now) {
    return Comparator.<CostedUpstream, Boolean>comparing(
            candidate -> candidate.row().isEjected(now))
        .thenComparing(candidate -> hasSuspect.test(candidate.name()))
        .thenComparing(candidate -> candidate.row().expectedLoad());
  }

  /** Returns the upstreams that can be selected, with their costs, in no particular order. */
  List<CostedUpstream> costs(Criteria criteria, Instant now) {
    List<Candidate> candidates = candidates(criteria, now);
    ToDoubleFunction<String> additionalMillis = additionalMillis(criteria, candidates, now);
    String home = homeOf(criteria, candidates, additionalMillis);
    return costsOf(criteria, candidates, home, additionalMillis, now);
  }

  private static Optional<Prompt> promptOf(Criteria criteria) {
    return criteria
        .generation()
        .map(generation -> Prompt.of(criteria.model().orElse(""), generation));
  }

  private List<CostedUpstream> costsOf(
      Criteria criteria,
      List<Candidate> candidates,
      String home,
      ToDoubleFunction<String> additionalMillis,
      Instant now) {
    Optional<Prompt> prompt = promptOf(criteria);
    // The same for all candidates; finding it reads the samples of all models.
    PrefillTimeModel prefillModel =
        prefillEstimates.prefillModelOf(prompt.map(Prompt::model).orElse(""));
    boolean paced = pacing.isActive(criteria.service());
    List<CostedUpstream> costs = new ArrayList<>();
    for (Candidate candidate : candidates) {
      FirstTokenForecast forecast =
          prompt
              .map(value -> forecast(candidate, value, prefillModel, home, paced, now))
              .orElse(FirstTokenForecast.NONE);
      UpstreamPacing.Applied applied =
          paced ? applied(candidate, now) : UpstreamPacing.Applied.NONE;
      double cost =
          paced && prompt.isEmpty() && pacing.isPlain(criteria.service())
              ? responseCost(candidate, criteria, now)
              : PlacementCost.of(
                  upstreamState(candidate, forecast, now), criteria.bodyBytes(), applied.lasting());
      double additional = additionalMillis.applyAsDouble(candidate.name());
      double jitter = random.nextDouble() * JITTER_MILLIS;
      costs.add(
          new CostedUpstream(
              candidate.name(),
              candidate.upstream(),
              candidate.row(),
              forecast,
              cost + additional + jitter,
              applied,
              isPreferred(candidate, additionalMillis, now)));
    }
    return costs;
  }

  /** Returns the eligibility check for upstreams. */
  UpstreamEligibility eligibility() {
    return eligibility;
  }

  private FirstTokenForecast forecast(
      Candidate candidate,
      Prompt prompt,
      PrefillTimeModel prefillModel,
      String home,
      boolean paced,
      Instant now) {
    Uncached uncached = prompt.uncachedAt(candidate, home);
    double slowness = slownessOf(candidate, paced, now);
    double queueMillis = prefillBacklog.waitingMillis(candidate.row().process(), now);
    double prefillMillis = prefillModel.millisFor(uncached.tokens());
    return new FirstTokenForecast(
        slowness * queueMillis, slowness * prefillMillis, uncached.tokens(), uncached.certain());
  }

  /** Returns the factor by which the times of an upstream exceed those of its models. */
  private double slownessOf(Candidate candidate, boolean paced, Instant now) {
    double slowness = prefillEstimates.slownessOf(candidate.row().process(), now);
    return paced ? slowness * pacing.lastingPaceOf(candidate.row(), now) : slowness;
  }

  private UpstreamPacing.Applied applied(Candidate candidate, Instant now) {
    return new UpstreamPacing.Applied(
        true,
        pacing.lastingPaceOf(candidate.row(), now),
        pacing.momentarySlowdownOf(candidate.row(), now),
        slownessOf(candidate, true, now),
        PredictedResponseCost.loadFactor(
            tables.upstreamTable().estimatedLoad(candidate.row()), slotsOf(candidate)),
        false);
  }

  private double responseCost(Candidate candidate, Criteria criteria, Instant now) {
    String serverZone = candidate.upstream().zone();
    return PredictedResponseCost.of(
        pacing.serverState(
            criteria.service(),
            candidate.row(),
            slotsOf(candidate),
            serverZone.equals(zone) ? "" : serverZone,
            isAvoided(candidate, now),
            now),
        criteria.goalMillis());
  }

  private static int slotsOf(Candidate candidate) {
    return Math.max(1, candidate.upstream().slots());
  }

  private boolean isAvoided(Candidate candidate, Instant now) {
    boolean otherZone = !candidate.upstream().zone().equals(zone);
    boolean unreachable = otherZone && zones.isUnreachable(candidate.upstream().zone(), now);
    return unreachable || candidate.row().isEjected(now) || hasSuspect.test(candidate.name());
  }

  private PlacementCost.UpstreamState upstreamState(
      Candidate candidate, FirstTokenForecast forecast, Instant now) {
    return new PlacementCost.UpstreamState(
        forecast,
        tables.upstreamTable().estimatedLoad(candidate.row()),
        slotsOf(candidate),
        !candidate.upstream().zone().equals(zone),
        candidate.row().failureShare(now),
        candidate.row().isCold(now),
        isAvoided(candidate, now));
  }

  /**
   * Returns the eligible upstreams that satisfy the version preference and whose version is not
   * waiting for its roll-out order; if there are none, all eligible upstreams that satisfy the
   * preference; if there are none of those, all eligible upstreams, provided that the firmness of
   * the preference allows any version.
   */
  private List<Candidate> candidates(Criteria criteria, Instant now) {
    List<Candidate> matching =
        eligible(
            criteria,
            upstream -> criteria.matchesVersion(upstream) && !tables.lacksRolloutOrder(upstream),
            now);
    if (matching.isEmpty()) {
      matching = eligible(criteria, criteria::matchesVersion, now);
    }
    return matching.isEmpty() && allowsAnyVersion(criteria)
        ? eligible(criteria, unused -> true, now)
        : matching;
  }

  private boolean allowsAnyVersion(Criteria criteria) {
    VersionRule.Firmness firmness =
        criteria
            .version()
            .map(VersionRule.VersionPreference::firmness)
            .orElse(VersionRule.Firmness.REQUIRED);
    return switch (firmness) {
      case PREFERRED -> true;
      case KEPT ->
          tables.upstreamsOf(criteria.service()).stream()
              .noneMatch(upstream -> remainsInService(criteria, upstream));
      case REQUIRED -> false;
    };
  }

  /**
   * Returns whether the upstream satisfies the version preference and is neither leaving nor in an
   * evacuated zone, no matter whether it has already been tried.
   */
  private boolean remainsInService(Criteria criteria, String name) {
    UpstreamRecord upstream = tables.upstream(name).orElseThrow();
    return criteria.matchesVersion(upstream)
        && !tables.isLeaving(name)
        && !tables.isInEvacuatedZone(upstream);
  }

  private List<Candidate> eligible(
      Criteria criteria, Predicate<UpstreamRecord> versionFilter, Instant now) {
    List<Candidate> candidates = new ArrayList<>();
    int connectionLimit = eligibility.connectionLimitOf(criteria.service());
    for (String name : tables.upstreamsOf(criteria.service())) {
      UpstreamRecord upstream = tables.upstream(name).orElseThrow();
      UpstreamRow row = tables.row(name);
      boolean isCandidate = !criteria.excluded().contains(name) && versionFilter.test(upstream);
      if (isCandidate && eligibility.exclusionOf(upstream, row, connectionLimit, now).isEmpty()) {
        candidates.add(new Candidate(name, upstream, row));
      }
    }
    return candidates;
  }

  /**
   * Returns the home upstream of the shared prompt prefix, selected by rendezvous hashing. There is
   * one home for all zones if another prefill of the prefix costs more than a request to another
   * zone, otherwise one home per zone. Preferred upstreams come first.
   */
  private String homeOf(
      Criteria criteria, List<Candidate> candidates, ToDoubleFunction<String> additionalMillis) {
    List<PromptPart> parts = criteria.generation().map(Generation::prompt).orElse(List.of());
    if (parts.size() < 2) {
      return "";
    }
    int sharedTokens = parts.stream().limit(parts.size() - 1L).mapToInt(PromptPart::tokens).sum();
    double repeatedPrefillMillis =
        prefillEstimates.prefillModelOf(criteria.model().orElse("")).millisPerToken()
            * sharedTokens;
    boolean anyZone = repeatedPrefillMillis > PlacementCost.crossZoneMillis(criteria.bodyBytes());
    long sharedPrefixHash = parts.get(parts.size() - 2).hash();
    String home = "";
    long highestScore = Long.MIN_VALUE;
    double lowestMillis = Double.MAX_VALUE;
    for (Candidate candidate : candidates) {
      long score = candidate.row().rankFor(sharedPrefixHash);
      boolean inScope = anyZone || candidate.upstream().zone().equals(zone);
      double millis = additionalMillis.applyAsDouble(candidate.name());
      if (inScope && (millis < lowestMillis || millis == lowestMillis && score > highestScore)) {
        highestScore = score;
        lowestMillis = millis;
        home = candidate.name();
      }
    }
    return home;
  }

  /** Records that the upstream caches the prompt for the model. */
  static void recordPrompt(UpstreamRow row, String model, Generation generation) {
    Prompt.of(model, generation).cacheKeys().forEach(row::rememberPrefix);
  }

  /**
   * The part of a prompt that an upstream has to prefill.
   *
   * @param tokens the number of uncached tokens
   * @param certain whether the number follows only from prompts that were sent to the upstream, and
   *     not from the assumption that the home upstream has cached the shared prefix
   */
  private record Uncached(double tokens, boolean certain) {}

  /**
   * A prompt with its prefix cache keys for one model.
   *
   * @param model the model
   * @param generation the declared prompt and output sizes
   * @param cacheKeys the keys of the prompt parts, which differ between models
   */
  private record Prompt(String model, Generation generation, List<Long> cacheKeys) {
    static Prompt of(String model, Generation generation) {
      long modelHash = Hashes.hash64(model);
      List<Long> keys =
          generation.prompt().stream().map(part -> Hashes.combine(modelHash, part.hash())).toList();
      return new Prompt(model, generation, keys);
    }

    /** Returns the part to prefill, assuming that the home has cached the shared prefix. */
    Uncached uncachedAt(Candidate candidate, String home) {
      int cachedTokens = 0;
      boolean certain = true;
      for (int index = 0; index < cacheKeys.size(); index++) {
        boolean cached = candidate.row().hasPrefix(cacheKeys.get(index));
        boolean shared = index < cacheKeys.size() - 1;
        boolean assumed = shared && candidate.name().equals(home);
        if (!cached && !assumed) {
          break;
        }
        certain &= cached;
        cachedTokens += generation.prompt().get(index).tokens();
      }
      return new Uncached(Math.max(0, generation.promptTokens() - cachedTokens), certain);
    }
  }
}
