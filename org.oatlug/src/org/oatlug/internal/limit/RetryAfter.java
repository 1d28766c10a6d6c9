// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * Parses the header {@code Retry-After}, the time for which an upstream that refused a request asks
 * to receive no more. Stateless, thread-safe.
 */
public final class RetryAfter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final double NANOS_PER_SECOND = 1e9;
  private static final Pattern SECONDS = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");
  private static final Pattern NEGATIVE_SECONDS = Pattern.compile("-\\d{1,9}(\\.\\d{1,9})?");

  /** The maximum delay, so that a faulty value does not exclude an upstream for hours. */
  private static final Duration MAXIMUM = Duration.ofMinutes(2);

  /** The delay for a malformed value: the upstream refused a request and asked for some delay. */
  private static final Duration MALFORMED = Duration.ofSeconds(1);

  /** The minimum interval between log lines about replaced values, in seconds. */
  private static final int LOG_PERIOD_SECONDS = 1;

  private RetryAfter() {}

  /**
   * Returns the delay, zero or more and bounded.
   *
   * @param header the value of the header, seconds with or without a fraction
   */
  public static Duration of(String header) {
    String text = header.trim();
    if (NEGATIVE_SECONDS.matcher(text).matches()) {
      return logReplacement(text, Duration.ZERO);
    }
    if (!SECONDS.matcher(text).matches()) {
      return logReplacement(text, MALFORMED);
    }
    Duration delay = Duration.ofNanos((long) (Double.parseDouble(text) * NANOS_PER_SECOND));
    return delay.compareTo(MAXIMUM) > 0 ? logReplacement(text, MAXIMUM) : delay;
  }

  private static Duration logReplacement(String text, Duration delay) {
    logger.atWarning().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
        "Retry-After of '%.40s' is replaced by %d ms", text, delay.toMillis());
    return delay;
  }
}
