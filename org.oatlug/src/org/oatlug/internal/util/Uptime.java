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

/** Reads for how long the host has run, suspensions included. Stateless, thread-safe. */
final class Uptime {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Path FILE = Path.of("/proc/uptime");

  /** The place of the nanoseconds behind the point of the seconds. */
  private static final int NANO_DIGITS = 9;

  private Uptime() {}

  /** Returns the time since the host was started, empty if the system does not tell. */
  static Optional<Duration> read() {
    try {
      return Optional.of(parse(Files.readString(FILE)));
    } catch (IOException | NumberFormatException e) {
      logger.atWarning().log("the time since the host started cannot be read: %s", e);
      return Optional.empty();
    }
  }

  /** Returns the first of the two numbers, which is in seconds. */
  static Duration parse(String text) {
    BigDecimal seconds = new BigDecimal(text.trim().split("\\s+")[0]);
    return Duration.ofNanos(seconds.movePointRight(NANO_DIGITS).longValue());
  }
}
