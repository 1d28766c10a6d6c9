// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.time.InstantSource;
import org.oatlug.internal.limit.TokenBucket;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.util.LogKeys;

/**
 * Bounds how many lines about requests are logged a second.
 *
 * <p>Invariant: lines that were left out are counted, and the next line that is let through comes
 * after one that says how many. Owned by one event loop, not thread-safe.
 */
final class LogLimit {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Lines a second, with a burst of as many: about three times those of a busy instance. */
  private static final double LINES_PER_SECOND = 200;

  private final InstantSource clock;
  private final Meters meters;
  private final TokenBucket bucket;
  private long leftOut;

  private LogLimit(InstantSource clock, Meters meters) {
    this.clock = clock;
    this.meters = meters;
    this.bucket = TokenBucket.full(LINES_PER_SECOND, clock.instant());
  }

  static LogLimit create(InstantSource clock, Meters meters) {
    return new LogLimit(clock, meters);
  }

  /** Returns a line about the request; one beyond the bound is at a level that is not written. */
  FluentLogger.Api line(FluentLogger target, String requestId) {
    FluentLogger.Api line = allows() ? target.atInfo() : target.atFinest();
    return line.with(LogKeys.REQUEST_ID, requestId);
  }

  private boolean allows() {
    Instant now = clock.instant();
    if (!bucket.take(LINES_PER_SECOND, now)) {
      leftOut++;
      meters.count("log.left-out");
      return false;
    }
    if (leftOut > 0) {
      logger.atWarning().log("%d lines about requests were left out", leftOut);
      leftOut = 0;
    }
    return true;
  }
}
