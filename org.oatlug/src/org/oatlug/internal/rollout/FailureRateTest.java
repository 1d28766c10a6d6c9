// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.rollout;

/**
 * Compares the failure rates of two versions on one route by a Bayes factor. Stateless,
 * thread-safe.
 *
 * <p>The alternatives are that the candidate fails an additional part of the requests that the
 * current version answers, see {@link #ADDITIONAL_FAILURES}; they are weighted equally. The failure
 * rate of the current version is unknown: it is integrated over a grid, weighted by the responses
 * of the current version in the same period and, with a limited weight, in the rest of the
 * roll-out. Successes of the candidate count as well as its failures, and a failure counts for more
 * on a route where they are rare.
 */
final class FailureRateTest {
  /** The parts of otherwise successful requests that a bad version is assumed to fail. */
  private static final double[] ADDITIONAL_FAILURES = {0.15, 0.3, 0.6};

  /** The possible failure rates of the current version, denser where they are low. */
  private static final double[] CURRENT_RATES = {
    0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.07, 0.09, 0.115, 0.14, 0.17, 0.2, 0.24, 0.28, 0.33,
    0.4, 0.5, 0.6, 0.7, 0.8
  };

  /**
   * The maximum weight of the responses of other periods, as a number of responses. A larger one
   * would blame the candidate for failures of a short time that concern both versions.
   */
  private static final double OTHER_PERIODS_WEIGHT = 60;

  private static final double[][] LOG_FAILURE = new double[ADDITIONAL_FAILURES.length + 1][];
  private static final double[][] LOG_SUCCESS = new double[ADDITIONAL_FAILURES.length + 1][];

  static {
    for (int hypothesis = 0; hypothesis <= ADDITIONAL_FAILURES.length; hypothesis++) {
      double additional = hypothesis == 0 ? 0 : ADDITIONAL_FAILURES[hypothesis - 1];
      LOG_FAILURE[hypothesis] = new double[CURRENT_RATES.length];
      LOG_SUCCESS[hypothesis] = new double[CURRENT_RATES.length];
      for (int rate = 0; rate < CURRENT_RATES.length; rate++) {
        double success = (1 - CURRENT_RATES[rate]) * (1 - additional);
        LOG_FAILURE[hypothesis][rate] = Math.log1p(-success);
        LOG_SUCCESS[hypothesis][rate] = Math.log(success);
      }
    }
  }

  private FailureRateTest() {}

  /**
   * Returns the natural logarithm of the Bayes factor: how much likelier the responses are if the
   * candidate is worse than if it is not. 0 without responses.
   */
  static double logBayesFactor(RouteOutcomes outcomes) {
    OutcomeCounts total = outcomes.total();
    double[] logFactors = new double[ADDITIONAL_FAILURES.length];
    for (OutcomeCounts period : outcomes.periods()) {
      if (period.candidate() > 0) {
        addPeriod(logFactors, period, total);
      }
    }
    return logMeanExp(logFactors);
  }

  private static void addPeriod(double[] logFactors, OutcomeCounts period, OutcomeCounts total) {
    double others = total.current() - period.current();
    double weight = others > 0 ? Math.min(1, OTHER_PERIODS_WEIGHT / others) : 0;
    double failed =
        period.currentFailed() + weight * (total.currentFailed() - period.currentFailed());
    double succeeded = period.current() + weight * others - failed;
    double[] logRateWeights = new double[CURRENT_RATES.length];
    for (int rate = 0; rate < CURRENT_RATES.length; rate++) {
      logRateWeights[rate] = failed * LOG_FAILURE[0][rate] + succeeded * LOG_SUCCESS[0][rate];
    }
    double logIfNotWorse = logLikelihood(period, 0, logRateWeights);
    for (int alternative = 0; alternative < logFactors.length; alternative++) {
      logFactors[alternative] +=
          logLikelihood(period, alternative + 1, logRateWeights) - logIfNotWorse;
    }
  }

  /** Returns the unnormalized likelihood of the candidate's responses under a hypothesis. */
  private static double logLikelihood(
      OutcomeCounts period, int hypothesis, double[] logRateWeights) {
    long failed = period.candidateFailed();
    long succeeded = period.candidate() - failed;
    double[] logTerms = new double[logRateWeights.length];
    for (int rate = 0; rate < logTerms.length; rate++) {
      logTerms[rate] =
          logRateWeights[rate]
              + failed * LOG_FAILURE[hypothesis][rate]
              + succeeded * LOG_SUCCESS[hypothesis][rate];
    }
    return logMeanExp(logTerms);
  }

  /** Returns the logarithm of the mean of the values, without overflow. */
  static double logMeanExp(double... logValues) {
    double maximum = Double.NEGATIVE_INFINITY;
    for (double logValue : logValues) {
      maximum = Math.max(maximum, logValue);
    }
    double sum = 0;
    for (double logValue : logValues) {
      sum += Math.exp(logValue - maximum);
    }
    return maximum + Math.log(sum / logValues.length);
  }
}
