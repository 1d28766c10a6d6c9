// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * The rest that an upstream asks for when it refuses a request, as the header {@code Retry-After}
 * says it. Stateless, thread-safe.
 */
public final class AskedRest {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final double NANOS_PER_SECOND = 1e9;
  private static final Pattern SECONDS = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");
  private static final Pattern NEGATIVE_SECONDS = Pattern.compile("-\\d{1,9}(\\.\\d{1,9})?");

  /** The longest rest that is granted, so that a slip of an upstream does not lose it for hours. */
  private static final Duration LONGEST = Duration.ofMinutes(2);

  /** The rest for a wish that cannot be read: it was refused, and something was asked for. */
  private static final Duration UNREAD = Duration.ofSeconds(1);

  /** At most a line each so many seconds tells of odd wishes. */
  private static final int ODD_LINES_SECONDS = 1;

  private AskedRest() {}

  /**
   * Returns the rest that is granted.
   *
   * @param header the value of the header, seconds with or without a fraction
   */
  public static Duration of(String header) {
    String text = header.trim();
    if (NEGATIVE_SECONDS.matcher(text).matches()) {
      return odd(text, Duration.ZERO);
    }
    if (!SECONDS.matcher(text).matches()) {
      return odd(text, UNREAD);
    }
    Duration asked = Duration.ofNanos((long) (Double.parseDouble(text) * NANOS_PER_SECOND));
    return asked.compareTo(LONGEST) > 0 ? odd(text, LONGEST) : asked;
  }

  private static Duration odd(String text, Duration granted) {
    logger.atWarning().atMostEvery(ODD_LINES_SECONDS, TimeUnit.SECONDS).log(
        "rest of '%.40s' is taken for %d millis", text, granted.toMillis());
    return granted;
  }
}
