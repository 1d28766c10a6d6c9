// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.ServiceDefinition;
import org.oatlug.internal.engine.FirstTokenForecast;

/**
 * Starts a cascade with the smallest model and escalates directly to the largest if that has the
 * higher expected value.
 *
 * <p>The value of accepting a response is the probability that it is good enough, estimated from
 * the model's confidence. The value of escalating is the probability that the response of the
 * largest model begins in time, estimated from the response times that this instance has measured,
 * less the price of the model. So a loaded pool, whose responses begin late, receives fewer
 * escalations before any request is refused. Owned by one event loop, not thread-safe.
 */
final class ExpectedValueRule implements StageRule {
  /** Confidence, 0 to 100, at which half of the responses are good. */
  private static final double EVEN_ODDS_CONFIDENCE = 43;

  /** Scale of the logistic function from confidence to the probability of a good response. */
  private static final double CONFIDENCE_SCALE = 8;

  /** Value of a late response relative to one in time, from the deployment specifications. */
  private static final double LATE_VALUE = 0.3;

  /** Value of a response that was too hard for its model, from the deployment specifications. */
  private static final double POOR_VALUE = 0.05;

  /** Minimum gain of an escalation: it uses an attempt that an interrupted stream may need. */
  private static final double MINIMUM_GAIN = 0.02;

  /** Credit per prompt token: the middle of the range in the deployment specifications. */
  private static final double CREDIT_PER_PROMPT_TOKEN = 2.5e-4;

  /** Credit for an output token, in prompt tokens. */
  private static final double PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10;

  /** Price of a prompt token relative to an output token. */
  private static final double PROMPT_TOKEN_PRICE_SHARE = 0.25;

  /** Number of output tokens that the price of a model covers. */
  private static final double PRICED_OUTPUT_TOKENS = 1000;

  /**
   * Loss of the requests queued behind a prefill that takes as long as the time to first token goal
   * of the route, relative to the value of a response.
   */
  private static final double QUEUEING_LOSS = 2.0;

  /** Weighs the delay that the prefill of a request causes to other requests of the service. */
  @FunctionalInterface
  interface DelayWeight {
    /** Every delay counts in full. */
    DelayWeight FULL = (service, route) -> 1;

    /** Returns the weight for a request of the route, 0 to 1. */
    double weightFor(String service, Route route);
  }

  private final GatewayTables tables;
  private final ResponseTimes times;
  private final DelayWeight delayWeight;

  private ExpectedValueRule(GatewayTables tables, ResponseTimes times, DelayWeight delayWeight) {
    this.tables = tables;
    this.times = times;
    this.delayWeight = delayWeight;
  }

  /**
   * Returns a rule that uses the prices in the tables and the measured times.
   *
   * @param delayWeight weighs the delay that a prefill causes to other requests
   */
  static ExpectedValueRule create(
      GatewayTables tables, ResponseTimes times, DelayWeight delayWeight) {
    return new ExpectedValueRule(tables, times, delayWeight);
  }

  @Override
  public int firstStage(Route route) {
    return 0;
  }

  @Override
  public OptionalInt replacementStage(LowConfidenceResponse answer) {
    int largest = answer.route().models().size() - 1;
    if (answer.stage() >= largest) {
      return OptionalInt.empty();
    }
    double goodProbability = probabilityOfGood(answer.confidence());
    double acceptValue = goodProbability + (1 - goodProbability) * POOR_VALUE;
    String model = answer.route().models().get(largest);
    FirstTokenForecast forecast = answer.forecastOf().apply(model);
    double escalateValue =
        expectedValue(answer, model, forecast)
            - relativePrice(answer, model)
            - queueingLoss(answer, forecast);
    return escalateValue > acceptValue + MINIMUM_GAIN
        ? OptionalInt.of(largest)
        : OptionalInt.empty();
  }

  private static double probabilityOfGood(int confidence) {
    return 1 / (1 + Math.exp((EVEN_ODDS_CONFIDENCE - confidence) / CONFIDENCE_SCALE));
  }

  /**
   * Returns the loss of other requests while the engine prefills the prompt: they are queued behind
   * it, and the longer it takes, the more of them are late. It is zero on a route without a goal,
   * where no response counts as late.
   */
  private double queueingLoss(LowConfidenceResponse answer, FirstTokenForecast forecast) {
    long goal = answer.route().goalMillis();
    double weight = delayWeight.weightFor(answer.service(), answer.route());
    return goal > 0 ? weight * QUEUEING_LOSS * forecast.prefillMillis() / goal : 0;
  }

  private double expectedValue(
      LowConfidenceResponse answer, String model, FirstTokenForecast forecast) {
    Duration remaining = Duration.ofMillis(answer.route().goalMillis()).minus(answer.elapsed());
    ResponseTimes.Key key =
        new ResponseTimes.Key(answer.route(), model, forecast.timeToFirstToken());
    double inTimeProbability = times.probabilityOfHeadWithin(key, remaining);
    return inTimeProbability + (1 - inTimeProbability) * LATE_VALUE;
  }

  /** Returns the price of the model for the request relative to the credit of the request. */
  private double relativePrice(LowConfidenceResponse answer, String model) {
    Generation generation = answer.generation();
    double promptTokens = generation.promptTokens();
    double outputTokens = generation.lengthHint().orElse(generation.maximumTokens());
    double credit =
        CREDIT_PER_PROMPT_TOKEN * (promptTokens + PROMPT_TOKENS_PER_OUTPUT_TOKEN * outputTokens);
    if (credit <= 0) {
      return 0;
    }
    double pricedTokens = promptTokens * PROMPT_TOKEN_PRICE_SHARE + outputTokens;
    return priceOf(answer.service(), model) * pricedTokens / PRICED_OUTPUT_TOKENS / credit;
  }

  private double priceOf(String service, String model) {
    Optional<ServiceDefinition.Engine> engine =
        tables.service(service).flatMap(ServiceDefinition::engine);
    return engine.stream()
        .flatMap(definition -> definition.models().stream())
        .filter(candidate -> candidate.name().equals(model))
        .mapToDouble(ServiceDefinition.Model::cost)
        .findFirst()
        .orElse(0);
  }
}
