// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * Parses the requests a second that an upstream accepts from all instances together, as advertised
 * in its responses. Stateless, thread-safe.
 */
public final class AdvertisedRate {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Pattern RATE = Pattern.compile("\\d{1,9}(\\.\\d{0,9})?|\\.\\d{1,9}");
  private static final Pattern NEGATIVE_RATE = Pattern.compile("-[\\d.]{1,20}");

  /** Higher than the rate at any upstream; the bound keeps arithmetic exact. */
  private static final double MAXIMUM_PER_SECOND = 10_000;

  /** The rate for a malformed value: only an overloaded upstream sends the header. */
  private static final double MALFORMED_PER_SECOND = 1;

  private static final int LOG_PERIOD_SECONDS = 1;

  private AdvertisedRate() {}

  /**
   * Returns the requests a second, zero or more and bounded.
   *
   * @param header the value of the header, a decimal number
   */
  public static double parse(String header) {
    String text = header.trim();
    if (NEGATIVE_RATE.matcher(text).matches()) {
      return logReplacement(text, 0);
    }
    if (!RATE.matcher(text).matches()) {
      return logReplacement(text, MALFORMED_PER_SECOND);
    }
    double rate = Double.parseDouble(text);
    return rate > MAXIMUM_PER_SECOND ? logReplacement(text, MAXIMUM_PER_SECOND) : rate;
  }

  private static double logReplacement(String text, double rate) {
    logger.atWarning().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
        "advertised limit '%.40s' is replaced by %s requests per second", text, rate);
    return rate;
  }
}
