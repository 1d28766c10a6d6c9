// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * How long the prompts take that wait to be read at each upstream: those of this instance, and
 * those that its peers told of.
 *
 * <p>Invariants: what {@link #begin} adds, {@link #end} takes away; what a peer told replaces what
 * it told before, and counts for {@link #VALID} at most, so that an instance that was lost or cut
 * off does not block upstreams. Owned by one event loop, not thread-safe.
 */
public final class OpenReading {
  /** How long what a peer told counts: a few of the pauses between its messages. */
  static final Duration VALID = Duration.ofSeconds(2);

  private final Map<String, Double> own = new TreeMap<>();
  private final Map<String, Told> peers = new HashMap<>();

  /** What a peer told: the milliseconds of reading by upstream, and until when it counts. */
  private record Told(Map<String, Integer> millis, Instant until) {}

  private OpenReading() {}

  /** Returns an empty account. */
  public static OpenReading create() {
    return new OpenReading();
  }

  /** Counts a prompt that goes to the upstream. */
  public void begin(String upstream, double millis) {
    own.merge(upstream, millis, Double::sum);
  }

  /** Ends a prompt that began with the same values: it was read, or its request ended. */
  public void end(String upstream, double millis) {
    double left = own.getOrDefault(upstream, 0.0) - millis;
    if (left < 1) {
      own.remove(upstream);
    } else {
      own.put(upstream, left);
    }
  }

  /** Takes in what a peer told, in place of what it told before. */
  public void heard(String peer, Map<String, Integer> millis, Instant now) {
    peers.put(peer, new Told(millis, now.plus(VALID)));
  }

  /** Returns how long the prompts take that wait at the upstream, in milliseconds. */
  public double waitingMillis(String upstream, Instant now) {
    double sum = own.getOrDefault(upstream, 0.0);
    Iterator<Told> each = peers.values().iterator();
    while (each.hasNext()) {
      Told told = each.next();
      if (now.isAfter(told.until())) {
        each.remove();
      } else {
        sum += told.millis().getOrDefault(upstream, 0);
      }
    }
    return sum;
  }

  /** Returns what this instance has open, in whole milliseconds by upstream. */
  public Map<String, Integer> own() {
    Map<String, Integer> whole = new TreeMap<>();
    own.forEach((upstream, millis) -> whole.put(upstream, (int) Math.round(millis)));
    return whole;
  }
}
