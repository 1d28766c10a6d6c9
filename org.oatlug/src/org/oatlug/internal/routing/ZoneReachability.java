// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the availability zones that seem to be unreachable from this instance.
 *
 * <p>Invariants: a zone counts as unreachable once connections to {@link #MINIMUM_UPSTREAMS} of its
 * upstreams failed to open with no response, and at most twice {@link #FAILURE_VALIDITY} from one
 * failure to the next; this ends with any response, or {@link #FAILURE_VALIDITY} after the last
 * failure, when the next request tries the zone again. Owned by one event loop, not thread-safe.
 */
public final class ZoneReachability {
  /**
   * A single upstream may have crashed; several fail together only if their zone is unreachable or
   * has failed.
   */
  private static final int MINIMUM_UPSTREAMS = 2;

  /** Validity of a connection failure, sufficient for a few connection attempts. */
  static final Duration FAILURE_VALIDITY = Duration.ofMillis(1500);

  private final Map<String, FailedConnections> failuresByZone = new HashMap<>();

  /** Upstreams of a zone with failed connections since the last response from the zone. */
  private static final class FailedConnections {
    private final Set<String> upstreams = new HashSet<>();
    private Instant lastFailure = Instant.EPOCH;
  }

  private ZoneReachability() {}

  /** Returns a tracker for which all zones are reachable. */
  public static ZoneReachability create() {
    return new ZoneReachability();
  }

  /** Records a response from the zone. */
  public void recordResponse(String zone) {
    failuresByZone.remove(zone);
  }

  /** Records that a connection to an upstream of the zone failed to open. */
  public void recordConnectFailure(String zone, String upstream, Instant now) {
    FailedConnections failures =
        failuresByZone.computeIfAbsent(zone, unused -> new FailedConnections());
    boolean isExpired =
        Duration.between(failures.lastFailure, now).compareTo(FAILURE_VALIDITY.multipliedBy(2)) > 0;
    if (isExpired) {
      failures.upstreams.clear();
    }
    failures.upstreams.add(upstream);
    failures.lastFailure = now;
  }

  /** Returns whether the zone seems to be unreachable. */
  public boolean isUnreachable(String zone, Instant now) {
    FailedConnections failures = failuresByZone.get(zone);
    return failures != null
        && failures.upstreams.size() >= MINIMUM_UPSTREAMS
        && now.isBefore(failures.lastFailure.plus(FAILURE_VALIDITY));
  }
}
