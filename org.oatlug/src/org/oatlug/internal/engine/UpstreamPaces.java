// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;
import org.oatlug.internal.util.BoundedMap;

/**
 * Estimates how much longer each upstream process takes than its peers: a lasting pace, and a
 * momentary slowdown that the upstream reports.
 *
 * <p>Invariants: the lasting pace of a process without samples is 1; a report of an upstream about
 * itself has half the weight of an observed time, so that a median of both follows the observed
 * times; samples and slowdowns end by age, also without further reports. Memory is bounded. Owned
 * by one event loop, not thread-safe.
 */
public final class UpstreamPaces {
  /** The maximum upstreams remembered: all at the design size and their replacements. */
  private static final int MAXIMUM_UPSTREAMS = 8192;

  private static final int MAXIMUM_GROUPS = 256;

  /** The upstreams of a group that are compared; the median of more differs little. */
  private static final int MAXIMUM_GROUP_SIZE = 64;

  /** Fewer upstreams than this have no usual time that one of them could differ from. */
  private static final int MINIMUM_GROUP_SIZE = 3;

  /** The time after which a reported slowdown has no effect: the length of a usual one. */
  private static final double SLOWDOWN_MILLIS = 600;

  /** The time for which a report about other instances is valid, as for pending prompts. */
  private static final Duration REPORT_VALIDITY = PrefillBacklog.VALIDITY;

  /** Weight of an observed time; a value that the upstream reports weighs 1. */
  private static final int OBSERVED_WEIGHT = 2;

  /** Weight of the assumption that an upstream is as fast as its peers: one observed time. */
  private static final double PRIOR_WEIGHT = OBSERVED_WEIGHT;

  /** The maximum factor by which a pace differs from 1. */
  private static final double MAXIMUM_FACTOR = 4;

  /** Added to both sides of a ratio, in milliseconds, because shorter times differ by chance. */
  private static final double NOISE_MILLIS = 10;

  /** Paces are reported in steps of this, so that equal ones are not reported anew. */
  private static final double REPORTED_STEP = 0.02;

  /** The change of a pace that is worth a log line. */
  private static final double NOTABLE_FACTOR = 1.25;

  private final Map<String, Entry> entries = BoundedMap.withMaximumSize(MAXIMUM_UPSTREAMS);
  private final Map<String, Group> groups = BoundedMap.withMaximumSize(MAXIMUM_GROUPS);
  private final Map<String, Boolean> reportingServices = BoundedMap.withMaximumSize(MAXIMUM_GROUPS);
  private Map<String, Pace> others = Map.of();
  private Instant othersValidUntil = Instant.EPOCH;

  /**
   * The lasting pace of an upstream process.
   *
   * @param factor the factor by which it takes longer than its peers
   * @param samples the weight of the times that it is based on
   */
  public record Pace(double factor, int samples) {}

  /**
   * A change of a lasting pace since the last one that was returned.
   *
   * @param before the previous pace
   * @param after the pace now
   */
  public record Change(double before, double after) {}

  /** A factor and when it was observed. */
  private record TimedFactor(double factor, Instant at) {}

  private static final class Entry {
    private final RecentSamples samples = new RecentSamples();

    /** The last slowdown that the upstream reported, relative to its peers. */
    private Optional<TimedFactor> slowdown = Optional.empty();

    private double lastNotable = 1;
  }

  /** The newest value of each upstream of a group of comparable ones. */
  private static final class Group {
    private final Map<String, TimedFactor> newest = BoundedMap.withMaximumSize(MAXIMUM_GROUP_SIZE);

    /** Adds a value; returns the median over the upstreams, empty if there are too few. */
    OptionalDouble add(String upstream, double value, Instant now) {
      newest.put(upstream, new TimedFactor(value, now));
      double[] fresh =
          newest.values().stream()
              .filter(sample -> RecentSamples.isFresh(sample.at(), now))
              .mapToDouble(TimedFactor::factor)
              .toArray();
      return fresh.length < MINIMUM_GROUP_SIZE
          ? OptionalDouble.empty()
          : OptionalDouble.of(RecentSamples.medianOf(fresh));
    }
  }

  private UpstreamPaces() {}

  /** Returns paces without observations. */
  public static UpstreamPaces create() {
    return new UpstreamPaces();
  }

  /** Returns whether an upstream of the service has ever reported a slowdown. */
  public boolean reportsSlowdown(String service) {
    return reportingServices.containsKey(service);
  }

  /**
   * Records a slowdown that an upstream reports about itself.
   *
   * @param factor the factor by which its work takes longer than usual
   */
  public void recordReported(String service, String upstream, double factor, Instant now) {
    reportingServices.put(service, Boolean.TRUE);
    OptionalDouble usual = group("slowdown", service).add(upstream, factor, now);
    double ratio = bounded(factor / usual.orElse(1));
    Entry entry = entry(upstream);
    entry.slowdown = Optional.of(new TimedFactor(ratio, now));
    // Without peers to compare with, a false report would set the lasting pace.
    if (usual.isPresent()) {
      entry.samples.add(ratio, now);
    }
  }

  /**
   * Records the time to first token of an engine; its ratio to the expected one is compared with
   * that of the other engines of the service.
   *
   * @param expectedMillis the time that was expected of an upstream of pace 1
   */
  public void recordFirstToken(
      String service, String upstream, double millis, double expectedMillis, Instant now) {
    double ratio = (millis + NOISE_MILLIS) / (expectedMillis + NOISE_MILLIS);
    recordCompared("first-token", service, upstream, ratio, now);
  }

  /**
   * Records a value that is comparable with those of the other upstreams of its group, such as the
   * event interval of a model.
   */
  public void recordCompared(
      String kind, String group, String upstream, double value, Instant now) {
    if (value > 0) {
      group(kind, group)
          .add(upstream, value, now)
          .ifPresent(median -> addObserved(upstream, value / median, now));
    }
  }

  private void addObserved(String upstream, double ratio, Instant now) {
    RecentSamples samples = entry(upstream).samples;
    for (int copy = 0; copy < OBSERVED_WEIGHT; copy++) {
      samples.add(bounded(ratio), now);
    }
  }

  private Entry entry(String upstream) {
    return entries.computeIfAbsent(upstream, unused -> new Entry());
  }

  private Group group(String kind, String name) {
    return groups.computeIfAbsent(kind + "/" + name, unused -> new Group());
  }

  private static double bounded(double factor) {
    return Math.max(1 / MAXIMUM_FACTOR, Math.min(MAXIMUM_FACTOR, factor));
  }

  /** Replaces the paces that all other instances observe, by upstream process. */
  public void applyReported(Map<String, Pace> paces, Instant now) {
    others = paces;
    othersValidUntil = now.plus(REPORT_VALIDITY);
  }

  /** Returns the paces that this instance observes, by upstream process, without old ones. */
  public Map<String, Pace> observed(Instant now) {
    entries.values().removeIf(entry -> entry.samples.count(now) == 0);
    Map<String, Pace> observed = new TreeMap<>();
    entries.forEach(
        (upstream, entry) ->
            entry
                .samples
                .median(now)
                .ifPresent(
                    median ->
                        observed.put(
                            upstream, new Pace(rounded(median), entry.samples.count(now)))));
    return observed;
  }

  private static double rounded(double factor) {
    return Math.max(REPORTED_STEP, Math.round(factor / REPORTED_STEP) * REPORTED_STEP);
  }

  /**
   * Returns the lasting pace of an upstream process: the mean of what this instance and the others
   * observe, by weight.
   */
  public double lastingPaceOf(String upstream, Instant now) {
    double weight = PRIOR_WEIGHT;
    double sum = 0;
    Entry entry = entries.get(upstream);
    if (entry != null && entry.samples.count(now) > 0) {
      weight += entry.samples.count(now);
      sum += entry.samples.count(now) * Math.log(entry.samples.median(now).getAsDouble());
    }
    Pace reported = now.isAfter(othersValidUntil) ? null : others.get(upstream);
    if (reported != null) {
      weight += reported.samples();
      sum += reported.samples() * Math.log(bounded(reported.factor()));
    }
    return Math.exp(sum / weight);
  }

  /**
   * Returns the factor by which an upstream process is slower at this moment than its lasting pace;
   * it fades to 1 within {@link #SLOWDOWN_MILLIS} of the report.
   */
  public double momentarySlowdownOf(String upstream, Instant now) {
    Entry entry = entries.get(upstream);
    if (entry == null || entry.slowdown.isEmpty()) {
      return 1;
    }
    TimedFactor slowdown = entry.slowdown.get();
    double age = Math.max(0, Duration.between(slowdown.at(), now).toMillis());
    double rest = Math.max(0, 1 - age / SLOWDOWN_MILLIS);
    return rest == 0 ? 1 : Math.pow(slowdown.factor() / lastingPaceOf(upstream, now), rest);
  }

  /** Returns the change of a lasting pace by more than a quarter since the last such change. */
  public Optional<Change> takeChange(String upstream, Instant now) {
    Entry entry = entries.get(upstream);
    if (entry == null) {
      return Optional.empty();
    }
    double pace = lastingPaceOf(upstream, now);
    double before = entry.lastNotable;
    if (pace < before * NOTABLE_FACTOR && pace > before / NOTABLE_FACTOR) {
      return Optional.empty();
    }
    entry.lastNotable = pace;
    return Optional.of(new Change(before, pace));
  }
}
