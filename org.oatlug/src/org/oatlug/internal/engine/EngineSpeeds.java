// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;
import org.oatlug.internal.util.BoundedMap;

/**
 * How fast engines read, learned from their answers: a line for each model, and for each upstream
 * how much slower than the line it is.
 *
 * <p>Invariants: before anything was measured an engine counts as slow, so that prompts spread; a
 * model that neither this instance nor a peer measured counts as slow as the slowest that was; the
 * slowness of an upstream that is not asked fades, so that it is tried again. Memory is bounded by
 * {@link #MOST_MODELS} and {@link #MOST_UPSTREAMS}. Owned by one event loop, not thread-safe.
 */
public final class EngineSpeeds {
  /** Models that are remembered; several times those that are in use at the design size. */
  static final int MOST_MODELS = 128;

  /** Upstreams that are remembered: all of the design size, with those that replace them. */
  static final int MOST_UPSTREAMS = 8192;

  /**
   * An engine of which nothing is known: 20 tokens in a millisecond, slower than engines that serve
   * in batches usually are. A guess that is too slow spreads prompts, one that is too quick piles
   * them up.
   */
  private static final ReadingLine UNMEASURED = new ReadingLine(50, 0.05);

  /**
   * After this time without an answer the slowness of an upstream counts for about a third, in
   * milliseconds: as long as its failures do, see the upstream's row.
   */
  private static final double FADE_MILLIS = 3000;

  /** The weight of one answer in the slowness of an upstream: the last five or so count. */
  private static final double WEIGHT = 0.3;

  /** The most that one answer says of an upstream, as a logarithm: eight times slower or faster. */
  private static final double MOST_LOGARITHM = Math.log(8);

  /** Times below this differ by chance: what both sides of a ratio gain, in milliseconds. */
  private static final double GRAIN_MILLIS = 50;

  private final Map<String, ReadingSamples> models = BoundedMap.ofMost(MOST_MODELS);
  private final Map<String, ReadingLine> heard = BoundedMap.ofMost(MOST_MODELS);
  private final Map<String, Slowness> upstreams = BoundedMap.ofMost(MOST_UPSTREAMS);

  /** How much slower an upstream was than expected, as a logarithm, and when that was seen. */
  private record Slowness(double logarithm, Instant at) {
    double at(Instant now) {
      double age = Math.max(0, Duration.between(at, now).toMillis());
      return logarithm * Math.exp(-age / FADE_MILLIS);
    }
  }

  private EngineSpeeds() {}

  /** Returns speeds of which nothing is known. */
  public static EngineSpeeds create() {
    return new EngineSpeeds();
  }

  /** Returns how fast engines read for the model, as far as that is known. */
  public ReadingLine lineOf(String model) {
    Optional<ReadingLine> own =
        Optional.ofNullable(models.get(model)).flatMap(ReadingSamples::line);
    return own.or(() -> Optional.ofNullable(heard.get(model))).or(this::slowest).orElse(UNMEASURED);
  }

  /** Takes in what a peer measured; it counts while this instance has measured nothing itself. */
  public void heard(String model, ReadingLine line) {
    heard.put(model, line);
  }

  /** Returns the lines that this instance measured. */
  public Map<String, ReadingLine> measured() {
    Map<String, ReadingLine> lines = new TreeMap<>();
    models.forEach(
        (model, samples) -> samples.line().ifPresent(measured -> lines.put(model, measured)));
    return lines;
  }

  private Optional<ReadingLine> slowest() {
    return models.values().stream()
        .flatMap(samples -> samples.line().stream())
        .filter(line -> line.millisPerToken() > UNMEASURED.millisPerToken())
        .max(Comparator.comparingDouble(ReadingLine::millisPerToken));
  }

  /** Returns by which factor the upstream is slower than the lines of its models. */
  public double slownessOf(String upstream, Instant now) {
    Slowness known = upstreams.get(upstream);
    return known == null ? 1 : Math.exp(known.at(now));
  }

  /**
   * Takes in how long an engine took to begin its answer.
   *
   * @param upstream the upstream
   * @param model the model that answered
   * @param forecast what was expected when the request was sent
   * @param took how long it took
   */
  public void answered(
      String upstream, String model, HeadForecast forecast, Duration took, Instant now) {
    double expected = forecast.waitingMillis() + forecast.readingMillis();
    double ratio = (took.toMillis() + GRAIN_MILLIS) / (expected + GRAIN_MILLIS);
    noteSlowness(upstream, Math.log(ratio), now);
    if (forecast.certain() && expected > 0) {
      ownReading(forecast, took.toMillis())
          .ifPresent(millis -> samplesOf(model).add(forecast.unreadTokens(), millis));
    }
  }

  /**
   * Returns how long the own prompt was read, empty if that cannot be told from a long wait. Never
   * longer than the answer took and, where the wait was short, at least half as long: so no belief
   * about what waits can make reading seem free.
   */
  private static OptionalDouble ownReading(HeadForecast forecast, double took) {
    double reading = forecast.readingMillis();
    if (forecast.waitingMillis() <= reading) {
      return OptionalDouble.of(took * reading / (forecast.waitingMillis() + reading));
    }
    return reading > took ? OptionalDouble.of(took) : OptionalDouble.empty();
  }

  private ReadingSamples samplesOf(String model) {
    return models.computeIfAbsent(model, unused -> new ReadingSamples());
  }

  private void noteSlowness(String upstream, double logarithm, Instant now) {
    double bounded = Math.max(-MOST_LOGARITHM, Math.min(MOST_LOGARITHM, logarithm));
    Slowness before = upstreams.get(upstream);
    double known = before == null ? 0 : before.at(now);
    // The forecast already held what was known, so what is seen comes on top of it.
    double sum = known + WEIGHT * bounded;
    double kept = Math.max(-MOST_LOGARITHM, Math.min(MOST_LOGARITHM, sum));
    upstreams.put(upstream, new Slowness(kept, now));
  }
}
