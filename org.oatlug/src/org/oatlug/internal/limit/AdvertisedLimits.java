// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.oatlug.internal.util.BoundedMap;

/**
 * The rate limits that upstreams advertise in their answers, by start of an upstream.
 *
 * <p>An upstream numbers nothing, so of two observations the later one is valid: a limit counts
 * from when its answer came, the absence of one from when the request of that answer was written. A
 * late answer to an early request so does not end a limit. Of two at one moment the stricter is
 * valid. Only what this instance observed is reported to others, so reports do not circulate.
 *
 * <p>Invariants: a limit stays valid until a later observation of the same start; that is only made
 * where requests are sent, so an upstream with a limit has to be asked now and then. Memory is
 * bounded. Owned by one event loop, not thread-safe.
 */
public final class AdvertisedLimits {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** For how long an own observation is reported, and for how long an ended limit is confirmed. */
  static final Duration REPORTED_FOR = Duration.ofSeconds(30);

  /** Upstreams that advertise limits at once at the design size. */
  private static final int MOST_UPSTREAMS = 2048;

  /** At most a line each so many milliseconds tells of limits. */
  private static final int LINE_MILLIS = 20;

  private final InstantSource clock;
  private final Map<String, Observation> valid = BoundedMap.ofMost(MOST_UPSTREAMS);
  private final Map<String, Observation> own = BoundedMap.ofMost(MOST_UPSTREAMS);

  /**
   * What an upstream said.
   *
   * @param limit the limit, {@link AdvertisedLimit#NONE} for none
   * @param since when that was first observed
   * @param at when it was last observed
   */
  private record Observation(double limit, Instant since, Instant at) {
    static Observation of(AdvertisedLimit reported, Instant now) {
      Instant at = now.minusMillis(reported.ageMillis());
      return new Observation(reported.requestsPerSecond(), at, at);
    }

    boolean isLimit() {
      return limit != AdvertisedLimit.NONE;
    }

    AdvertisedLimit asOf(Instant now) {
      return new AdvertisedLimit(limit, Math.max(0, Duration.between(at, now).toMillis()));
    }

    /** Returns the valid one of this and a later report or answer. */
    Observation or(Observation other) {
      if (other.at.isBefore(at)) {
        return this;
      }
      if (other.limit == limit) {
        return new Observation(limit, since, other.at);
      }
      boolean isTie = other.at.equals(at);
      return isTie && AdvertisedLimit.isStricter(limit, other.limit) ? this : other;
    }
  }

  private AdvertisedLimits(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns the limits of upstreams that advertised none yet. */
  public static AdvertisedLimits create(InstantSource clock) {
    return new AdvertisedLimits(clock);
  }

  /** Returns the requests a second that the upstream accepts, empty if it advertises no limit. */
  public OptionalDouble of(String upstream) {
    return find(upstream).stream().mapToDouble(AdvertisedLimit::requestsPerSecond).findFirst();
  }

  /** Returns the limit of the upstream with its age, empty if it advertises none. */
  public Optional<AdvertisedLimit> find(String upstream) {
    return Optional.ofNullable(valid.get(upstream))
        .filter(Observation::isLimit)
        .map(known -> known.asOf(clock.instant()));
  }

  /**
   * Applies an answer that advertises a limit.
   *
   * @param upstream the upstream that answered, with its start
   * @param requestsPerSecond the requests a second that it accepts from all instances together
   */
  public void advertised(String upstream, double requestsPerSecond) {
    Instant now = clock.instant();
    observe(upstream, new Observation(requestsPerSecond, now, now));
  }

  /**
   * Applies an answer that advertises no limit.
   *
   * @param upstream the upstream that answered, with its start
   * @param written when the request that it answers was written
   */
  public void notAdvertised(String upstream, Instant written) {
    Observation known = valid.get(upstream);
    if (known == null || isEndedLongAgo(known)) {
      return;
    }
    observe(upstream, new Observation(AdvertisedLimit.NONE, written, written));
  }

  /** Returns whether every instance had the time to learn that the limit has ended. */
  private boolean isEndedLongAgo(Observation known) {
    return !known.isLimit() && known.since().plus(REPORTED_FOR).isBefore(clock.instant());
  }

  private void observe(String upstream, Observation observation) {
    Observation before = own.get(upstream);
    own.put(upstream, before == null ? observation : before.or(observation));
    apply(upstream, observation, "an answer");
  }

  private void apply(String upstream, Observation observation, String source) {
    Observation before = valid.get(upstream);
    Observation after = before == null ? observation : before.or(observation);
    valid.put(upstream, after);
    boolean isKnown = before == null ? !after.isLimit() : before.limit() == after.limit();
    if (!isKnown) {
      logger.atInfo().atMostEvery(LINE_MILLIS, TimeUnit.MILLISECONDS).log(
          "upstream %s accepts %s, age=%d by %s",
          upstream,
          after.isLimit() ? after.limit() + " requests a second" : "any rate",
          Duration.between(after.at(), clock.instant()).toMillis(),
          source);
    }
  }

  /** Returns what this instance observed itself and others may not know. */
  public Map<String, AdvertisedLimit> observed() {
    Instant now = clock.instant();
    own.values().removeIf(one -> one.at().plus(REPORTED_FOR).isBefore(now));
    Map<String, AdvertisedLimit> observed = new TreeMap<>();
    own.forEach((upstream, one) -> observed.put(upstream, one.asOf(now)));
    return observed;
  }

  /** Applies what other instances observed. */
  public void applyReported(Map<String, AdvertisedLimit> reported) {
    Instant now = clock.instant();
    reported.forEach((upstream, limit) -> apply(upstream, Observation.of(limit, now), "a report"));
  }
}
