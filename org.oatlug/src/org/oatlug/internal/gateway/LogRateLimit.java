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
 * Limits the rate of log lines about requests.
 *
 * <p>Invariant: suppressed lines are counted, and the next line that is logged follows a line with
 * their number. Owned by one event loop, not thread-safe.
 */
final class LogRateLimit {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The rate and the burst: about three times the rate of a busy instance. */
  private static final double LINES_PER_SECOND = 200;

  private final InstantSource clock;
  private final Meters meters;
  private final TokenBucket bucket;
  private long suppressed;

  private LogRateLimit(InstantSource clock, Meters meters) {
    this.clock = clock;
    this.meters = meters;
    this.bucket = TokenBucket.full(LINES_PER_SECOND, clock.instant());
  }

  static LogRateLimit create(InstantSource clock, Meters meters) {
    return new LogRateLimit(clock, meters);
  }

  /** Returns a log statement for the request, at a level that is not logged above the limit. */
  FluentLogger.Api line(FluentLogger target, String requestId) {
    FluentLogger.Api line = tryAcquire() ? target.atInfo() : target.atFinest();
    return line.with(LogKeys.REQUEST_ID, requestId);
  }

  private boolean tryAcquire() {
    Instant now = clock.instant();
    if (!bucket.take(LINES_PER_SECOND, now)) {
      suppressed++;
      meters.count("log.left-out");
      return false;
    }
    if (suppressed > 0) {
      logger.atWarning().log("suppressed %d log lines about requests", suppressed);
      suppressed = 0;
    }
    return true;
  }
}
