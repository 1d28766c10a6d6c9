// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/**
 * How long the prompts take that wait to be read at each upstream: those of this instance, and
 * those of all others.
 *
 * <p>Invariants: what {@link #begin} adds, {@link #end} takes away; what was told of the others
 * replaces what was told before, and counts for {@link #VALID} at most, so that instances that were
 * lost or cut off do not block upstreams. Owned by one event loop, not thread-safe.
 */
public final class OpenReading {
  /** How long what was told of others counts: a few of the pauses between messages. */
  public static final Duration VALID = Duration.ofSeconds(2);

  private final Map<String, Double> own = new TreeMap<>();
  private Map<String, Integer> others = Map.of();
  private Instant othersUntil = Instant.EPOCH;

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

  /** Takes in what all others have open, in milliseconds by upstream. */
  public void heard(Map<String, Integer> millis, Instant now) {
    others = millis;
    othersUntil = now.plus(VALID);
  }

  /** Returns how long the prompts take that wait at the upstream, in milliseconds. */
  public double waitingMillis(String upstream, Instant now) {
    double sum = own.getOrDefault(upstream, 0.0);
    if (!now.isAfter(othersUntil)) {
      sum += others.getOrDefault(upstream, 0);
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
