// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * The requests a second that an upstream takes from all instances together, as its answers name
 * them. Stateless, thread-safe.
 */
public final class AskedRate {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Pattern RATE = Pattern.compile("\\d{1,9}(\\.\\d{0,9})?|\\.\\d{1,9}");
  private static final Pattern NEGATIVE_RATE = Pattern.compile("-[\\d.]{1,20}");

  /** More than any upstream gets, so that arithmetic with it stays exact. */
  private static final double HIGHEST_PER_SECOND = 10_000;

  /** The rate for a wish that cannot be read: the upstream is in need, and something was named. */
  private static final double UNREAD_PER_SECOND = 1;

  /** At most a line each so many seconds tells of odd wishes. */
  private static final int ODD_LINES_SECONDS = 1;

  private AskedRate() {}

  /**
   * Returns the requests a second that are granted, zero or more.
   *
   * @param header the value of the header, a decimal number
   */
  public static double of(String header) {
    String text = header.trim();
    if (NEGATIVE_RATE.matcher(text).matches()) {
      return odd(text, 0);
    }
    if (!RATE.matcher(text).matches()) {
      return odd(text, UNREAD_PER_SECOND);
    }
    double asked = Double.parseDouble(text);
    return asked > HIGHEST_PER_SECOND ? odd(text, HIGHEST_PER_SECOND) : asked;
  }

  private static double odd(String text, double granted) {
    logger.atWarning().atMostEvery(ODD_LINES_SECONDS, TimeUnit.SECONDS).log(
        "limit of '%.40s' is taken for %s requests a second", text, granted);
    return granted;
  }
}
