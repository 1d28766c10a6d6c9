// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Accounts for the expected prefill time of the prompts that are queued at each upstream, sent by
 * this instance and by all others.
 *
 * <p>Invariants: {@link #end} subtracts what {@link #begin} added; a report about other instances
 * replaces the previous one and is valid for {@link #VALIDITY}, so that lost or partitioned
 * instances do not block upstreams. Owned by one event loop, not thread-safe.
 */
public final class PrefillBacklog {
  /** The time for which a report about other instances is valid: a few message intervals. */
  public static final Duration VALIDITY = Duration.ofSeconds(2);

  private final Map<String, Double> own = new TreeMap<>();
  private Map<String, Integer> others = Map.of();
  private Instant othersValidUntil = Instant.EPOCH;

  private PrefillBacklog() {}

  /** Returns an empty backlog. */
  public static PrefillBacklog create() {
    return new PrefillBacklog();
  }

  /** Adds the prefill time of a prompt that is sent to the upstream process. */
  public void begin(String upstream, double millis) {
    own.merge(upstream, millis, Double::sum);
  }

  /** Subtracts a prompt added with the same values: its prefill or its request has ended. */
  public void end(String upstream, double millis) {
    double remaining = own.getOrDefault(upstream, 0.0) - millis;
    if (remaining < 1) {
      own.remove(upstream);
    } else {
      own.put(upstream, remaining);
    }
  }

  /**
   * Replaces the prefill time queued by all other instances, in milliseconds by upstream process.
   */
  public void applyReported(Map<String, Integer> millis, Instant now) {
    others = millis;
    othersValidUntil = now.plus(VALIDITY);
  }

  /** Returns the age of the report about other instances, empty if none is valid. */
  public Optional<Duration> reportAge(Instant now) {
    return now.isAfter(othersValidUntil)
        ? Optional.empty()
        : Optional.of(Duration.between(othersValidUntil.minus(VALIDITY), now));
  }

  /** Returns the prefill time of the prompts queued at the upstream process, in milliseconds. */
  public double waitingMillis(String upstream, Instant now) {
    double sum = own.getOrDefault(upstream, 0.0);
    if (!now.isAfter(othersValidUntil)) {
      sum += others.getOrDefault(upstream, 0);
    }
    return sum;
  }

  /**
   * Returns the prefill time queued by this instance, in whole milliseconds by upstream process.
   */
  public Map<String, Integer> own() {
    Map<String, Integer> rounded = new TreeMap<>();
    own.forEach((upstream, millis) -> rounded.put(upstream, (int) Math.round(millis)));
    return rounded;
  }
}
