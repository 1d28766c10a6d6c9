// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/** Reads the time since the host was started, including suspensions. Stateless, thread-safe. */
final class Uptime {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Path FILE = Path.of("/proc/uptime");

  /** Number of decimal places between seconds and nanoseconds. */
  private static final int NANO_DIGITS = 9;

  private Uptime() {}

  /** Returns the time since the host was started, empty if the system does not provide it. */
  static Optional<Duration> read() {
    try {
      return Optional.of(parse(Files.readString(FILE)));
    } catch (IOException | NumberFormatException e) {
      logger.atWarning().log("failed to read the time since the host was started: %s", e);
      return Optional.empty();
    }
  }

  /** Parses the first of the two numbers, the time since boot in seconds. */
  static Duration parse(String text) {
    BigDecimal seconds = new BigDecimal(text.trim().split("\\s+")[0]);
    return Duration.ofNanos(seconds.movePointRight(NANO_DIGITS).longValue());
  }
}
