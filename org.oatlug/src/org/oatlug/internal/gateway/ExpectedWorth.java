// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.ServiceDefinition;
import org.oatlug.internal.engine.HeadForecast;

/**
 * Starts with the smallest model and goes straight to the largest when that is worth more.
 *
 * <p>The worth of taking an answer is the chance that it is good enough, read from the model's
 * confidence. The worth of asking the largest model is the chance that its answer begins in time,
 * from the measured times of this instance, less the price of the model. So a loaded pool, whose
 * answers begin late, is asked for less, before any request is refused. Owned by one event loop,
 * not thread-safe.
 */
final class ExpectedWorth implements StageRule {
  /** The confidence at which an answer is as often good as not. */
  private static final double EVEN_CONFIDENCE = 43;

  /** How much confidence makes an answer surer, as the scale of a logistic. */
  private static final double CONFIDENCE_SCALE = 8;

  /** What a late answer is worth, as a share of one in time; from the deployments' sheets. */
  private static final double LATE_WORTH = 0.3;

  /** What an answer is worth that was too hard for its model; from the deployments' sheets. */
  private static final double POOR_WORTH = 0.05;

  /** What asking again has to gain: it takes an attempt that a broken stream may need. */
  private static final double LEAST_GAIN = 0.02;

  /** Credit for each token read, and for a tenth of a token made; the middle of the sheets. */
  private static final double WORTH_OF_TOKEN = 2.5e-4;

  /** What a token made is worth, in tokens read. */
  private static final double MADE_TOKEN = 10;

  /** What a token read costs, as a share of one made. */
  private static final double READ_SHARE_OF_COST = 0.25;

  /** The tokens made that the price of a model is for. */
  private static final double COST_TOKENS = 1000;

  /**
   * What reading for as long as the goal of the request costs others, as a share of its worth: they
   * wait behind it.
   */
  private static final double READING_LOSS = 2.0;

  private final GatewayTables tables;
  private final AnswerTimes times;

  private ExpectedWorth(GatewayTables tables, AnswerTimes times) {
    this.tables = tables;
    this.times = times;
  }

  /** Returns a rule that reads prices from the tables and times from the measurements. */
  static ExpectedWorth create(GatewayTables tables, AnswerTimes times) {
    return new ExpectedWorth(tables, times);
  }

  @Override
  public int first(Route route) {
    return 0;
  }

  @Override
  public OptionalInt insteadOf(Poor answer) {
    int largest = answer.route().models().size() - 1;
    if (answer.stage() >= largest) {
      return OptionalInt.empty();
    }
    double good = chanceOfGood(answer.confidence());
    double taken = good + (1 - good) * POOR_WORTH;
    String model = answer.route().models().get(largest);
    HeadForecast forecast = answer.expected().apply(model);
    double asked =
        worthInTime(answer, model, forecast)
            - relativePrice(answer, model)
            - lossOfOthers(answer, forecast);
    return asked > taken + LEAST_GAIN ? OptionalInt.of(largest) : OptionalInt.empty();
  }

  private static double chanceOfGood(int confidence) {
    return 1 / (1 + Math.exp((EVEN_CONFIDENCE - confidence) / CONFIDENCE_SCALE));
  }

  /**
   * Returns what others lose while the engine reads the prompt: they wait for it, and the later
   * they begin the more of them are late. On a route without a goal nobody is late.
   */
  private static double lossOfOthers(Poor answer, HeadForecast forecast) {
    long goal = answer.route().goalMillis();
    return goal > 0 ? READING_LOSS * forecast.readingMillis() / goal : 0;
  }

  private double worthInTime(Poor answer, String model, HeadForecast forecast) {
    Duration left = Duration.ofMillis(answer.route().goalMillis()).minus(answer.elapsed());
    AnswerTimes.Kind kind = new AnswerTimes.Kind(answer.route(), model, forecast.timeToHead());
    double inTime = times.chanceOfHeadWithin(kind, left);
    return inTime + (1 - inTime) * LATE_WORTH;
  }

  /** Returns the price of the model for the request as a share of what the request is worth. */
  private double relativePrice(Poor answer, String model) {
    Generation generation = answer.generation();
    double read = generation.promptTokens();
    double made = generation.lengthHint().orElse(generation.maximumTokens());
    double worth = WORTH_OF_TOKEN * (read + MADE_TOKEN * made);
    if (worth <= 0) {
      return 0;
    }
    double tokens = read * READ_SHARE_OF_COST + made;
    return costOf(answer.service(), model) * tokens / COST_TOKENS / worth;
  }

  private double costOf(String service, String model) {
    Optional<ServiceDefinition.Engine> engine =
        tables.service(service).flatMap(ServiceDefinition::engine);
    return engine.stream()
        .flatMap(known -> known.models().stream())
        .filter(known -> known.name().equals(model))
        .mapToDouble(ServiceDefinition.Model::cost)
        .findFirst()
        .orElse(0);
  }
}
