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
 * Estimates the prefill times of engines from their responses: a linear function for each model,
 * and a factor for each upstream by which it is slower than the estimates of its models.
 *
 * <p>Invariants: an engine without measurements counts as slow, so that prompts are spread; a model
 * that neither this instance nor a peer measured counts as slow as the slowest model that this
 * instance measured, and at least as slow as {@link #UNMEASURED}; the factor of an upstream that
 * receives no requests decays, so that it receives requests again. Memory is bounded by {@link
 * #MAXIMUM_MODELS} and {@link #MAXIMUM_UPSTREAMS}. Owned by one event loop, not thread-safe.
 */
public final class PrefillEstimates {
  /** The maximum models remembered: several times those in use at the design size. */
  static final int MAXIMUM_MODELS = 128;

  /** The maximum upstreams remembered: all at the design size and their replacements. */
  static final int MAXIMUM_UPSTREAMS = 8192;

  /**
   * The default without measurements, 20 tokens per millisecond: slower than engines with batching
   * usually are, because too slow an estimate spreads prompts, while too fast an estimate
   * concentrates them.
   */
  private static final PrefillTimeModel UNMEASURED = new PrefillTimeModel(50, 0.05);

  /**
   * The time in milliseconds after which the slowness of an upstream decays to about a third, the
   * same as for its failures in {@link org.oatlug.internal.table.UpstreamRow}.
   */
  private static final double DECAY_MILLIS = 3000;

  /** The weight of one response in the slowness of an upstream: about the last five count. */
  private static final double WEIGHT = 0.3;

  /** The bound of the logarithm of a slowness, of one response and in total: a factor of eight. */
  private static final double MAXIMUM_LOGARITHM = Math.log(8);

  /** Added to both sides of a ratio, in milliseconds, because shorter times differ by chance. */
  private static final double NOISE_MILLIS = 50;

  private final Map<String, PrefillSamples> samplesByModel =
      BoundedMap.withMaximumSize(MAXIMUM_MODELS);
  private final Map<String, PrefillTimeModel> peerEstimates =
      BoundedMap.withMaximumSize(MAXIMUM_MODELS);
  private final Map<String, Slowness> upstreams = BoundedMap.withMaximumSize(MAXIMUM_UPSTREAMS);

  /** The logarithm of the factor by which an upstream was slower than expected, and its time. */
  private record Slowness(double logarithm, Instant at) {
    double at(Instant now) {
      double age = Math.max(0, Duration.between(at, now).toMillis());
      return logarithm * Math.exp(-age / DECAY_MILLIS);
    }
  }

  private PrefillEstimates() {}

  /** Returns estimates without measurements. */
  public static PrefillEstimates create() {
    return new PrefillEstimates();
  }

  /** Returns the estimated prefill time of the model. */
  public PrefillTimeModel prefillModelOf(String model) {
    Optional<PrefillTimeModel> measured =
        Optional.ofNullable(samplesByModel.get(model)).flatMap(PrefillSamples::line);
    return measured
        .or(() -> Optional.ofNullable(peerEstimates.get(model)))
        .or(this::slowest)
        .orElse(UNMEASURED);
  }

  /** Records the estimate of a peer; used while this instance has none of its own. */
  public void applyReported(String model, PrefillTimeModel estimate) {
    peerEstimates.put(model, estimate);
  }

  /** Returns the estimates that this instance measured, by model. */
  public Map<String, PrefillTimeModel> measured() {
    Map<String, PrefillTimeModel> estimates = new TreeMap<>();
    samplesByModel.forEach(
        (model, samples) -> samples.line().ifPresent(measured -> estimates.put(model, measured)));
    return estimates;
  }

  private Optional<PrefillTimeModel> slowest() {
    return samplesByModel.values().stream()
        .flatMap(samples -> samples.line().stream())
        .filter(model -> model.millisPerToken() > UNMEASURED.millisPerToken())
        .max(Comparator.comparingDouble(PrefillTimeModel::millisPerToken));
  }

  /**
   * Returns the factor by which the upstream process is slower than the estimates of its models.
   */
  public double slownessOf(String upstream, Instant now) {
    Slowness slowness = upstreams.get(upstream);
    return slowness == null ? 1 : Math.exp(slowness.at(now));
  }

  /**
   * Records the time to first token of a response.
   *
   * @param upstream the upstream process that responded
   * @param model the model that responded
   * @param forecast the forecast at the time when the request was sent
   * @param elapsed the time to first token
   */
  public void recordTimeToFirstToken(
      String upstream, String model, FirstTokenForecast forecast, Duration elapsed, Instant now) {
    double expected = forecast.waitingMillis() + forecast.prefillMillis();
    double ratio = (elapsed.toMillis() + NOISE_MILLIS) / (expected + NOISE_MILLIS);
    updateSlowness(upstream, Math.log(ratio), now);
    if (forecast.certain() && expected > 0) {
      prefillOf(forecast, elapsed.toMillis())
          .ifPresent(millis -> samplesOf(model).add(forecast.uncachedTokens(), millis));
    }
  }

  /**
   * Returns the prefill time of the request itself in milliseconds, empty if it cannot be separated
   * from a long wait. It never exceeds the elapsed time and is at least half of it if the expected
   * wait was short, so that no estimate of the wait can make prefill appear free.
   */
  private static OptionalDouble prefillOf(FirstTokenForecast forecast, double elapsed) {
    double prefillMillis = forecast.prefillMillis();
    if (forecast.waitingMillis() <= prefillMillis) {
      return OptionalDouble.of(
          elapsed * prefillMillis / (forecast.waitingMillis() + prefillMillis));
    }
    return prefillMillis > elapsed ? OptionalDouble.of(elapsed) : OptionalDouble.empty();
  }

  private PrefillSamples samplesOf(String model) {
    return samplesByModel.computeIfAbsent(model, unused -> new PrefillSamples());
  }

  private void updateSlowness(String upstream, double logarithm, Instant now) {
    double bounded = Math.max(-MAXIMUM_LOGARITHM, Math.min(MAXIMUM_LOGARITHM, logarithm));
    Slowness previous = upstreams.get(upstream);
    double previousLogarithm = previous == null ? 0 : previous.at(now);
    // The forecast already includes the known slowness, so the observed ratio is added to it.
    double sum = previousLogarithm + WEIGHT * bounded;
    double updated = Math.max(-MAXIMUM_LOGARITHM, Math.min(MAXIMUM_LOGARITHM, sum));
    upstreams.put(upstream, new Slowness(updated, now));
  }
}
