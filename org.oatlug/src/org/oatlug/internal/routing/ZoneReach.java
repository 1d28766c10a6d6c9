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
 * Which availability zones this instance seems to be cut off from.
 *
 * <p>Invariants: a zone is cut off once connections to {@link #LEAST_UPSTREAMS} of its upstreams
 * failed to open with no answer in between; each further failure holds for {@link #HOLDS}, after
 * which the next request tries the zone again; one answer ends it. Owned by one event loop, not
 * thread-safe.
 */
public final class ZoneReach {
  /** So many upstreams do not fail together unless their zone is cut off or lost. */
  private static final int LEAST_UPSTREAMS = 2;

  /** How long a failure counts: a few attempts to open a connection. */
  static final Duration HOLDS = Duration.ofMillis(1500);

  private final Map<String, Unreached> unreached = new HashMap<>();

  /** The upstreams of a zone that were not reached since the last answer from there. */
  private static final class Unreached {
    private final Set<String> upstreams = new HashSet<>();
    private Instant last = Instant.EPOCH;
  }

  private ZoneReach() {}

  /** Returns an account of which all zones are reached. */
  public static ZoneReach create() {
    return new ZoneReach();
  }

  /** Notes an answer from the zone. */
  public void reached(String zone) {
    unreached.remove(zone);
  }

  /** Notes that a connection to an upstream of the zone did not open. */
  public void notReached(String zone, String upstream, Instant now) {
    Unreached known = unreached.computeIfAbsent(zone, unused -> new Unreached());
    boolean old = Duration.between(known.last, now).compareTo(HOLDS.multipliedBy(2)) > 0;
    if (old) {
      known.upstreams.clear();
    }
    known.upstreams.add(upstream);
    known.last = now;
  }

  /** Returns whether the zone seems to be cut off. */
  public boolean isCutOff(String zone, Instant now) {
    Unreached known = unreached.get(zone);
    return known != null
        && known.upstreams.size() >= LEAST_UPSTREAMS
        && now.isBefore(known.last.plus(HOLDS));
  }
}
