// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * Parses the requests a second that an upstream accepts from all instances together, as its answers
 * advertise them. Stateless, thread-safe.
 */
public final class AdvertisedRate {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Pattern RATE = Pattern.compile("\\d{1,9}(\\.\\d{0,9})?|\\.\\d{1,9}");
  private static final Pattern NEGATIVE_RATE = Pattern.compile("-[\\d.]{1,20}");

  /** More than any upstream gets, so that arithmetic with it stays exact. */
  private static final double HIGHEST_PER_SECOND = 10_000;

  /** The rate for a malformed value: the upstream is overloaded, or it would send none. */
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
      return replaced(text, 0);
    }
    if (!RATE.matcher(text).matches()) {
      return replaced(text, MALFORMED_PER_SECOND);
    }
    double asked = Double.parseDouble(text);
    return asked > HIGHEST_PER_SECOND ? replaced(text, HIGHEST_PER_SECOND) : asked;
  }

  private static double replaced(String text, double read) {
    logger.atWarning().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
        "advertised limit '%.40s' is read as %s requests a second", text, read);
    return read;
  }
}
