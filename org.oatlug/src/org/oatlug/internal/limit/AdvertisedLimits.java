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
 * Holds the rate limits that upstreams advertise in their responses, by upstream process.
 *
 * <p>Responses carry no sequence number, so the later of two observations is valid: a limit dates
 * from the arrival of its response, the absence of a limit from the time when the request was
 * written. A late response to an early request thus does not end a limit. Of two observations at
 * the same time the stricter is valid. Only observations of this instance are reported to others,
 * so reports do not circulate.
 *
 * <p>Invariants: a limit stays valid until a later observation of the same upstream process; only
 * requests yield observations, so a limited upstream must be probed periodically. Memory is
 * bounded. Owned by one event loop, not thread-safe.
 */
public final class AdvertisedLimits {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * The time for which an observation of this instance is reported, and for which further responses
   * confirm that a limit has ended.
   */
  static final Duration REPORTED_FOR = Duration.ofSeconds(30);

  /** The maximum upstreams that advertise limits at the same time at the design size. */
  private static final int MAXIMUM_UPSTREAMS = 2048;

  /** The minimum interval between log lines about limits, in milliseconds. */
  private static final int LOG_PERIOD_MILLIS = 20;

  private final InstantSource clock;
  private final String counted;
  private final Map<String, Observation> validObservations =
      BoundedMap.withMaximumSize(MAXIMUM_UPSTREAMS);
  private final Map<String, Observation> ownObservations =
      BoundedMap.withMaximumSize(MAXIMUM_UPSTREAMS);

  /**
   * An observation of the limit of an upstream.
   *
   * @param limit the limit in requests per second, {@link AdvertisedLimit#NONE} for none
   * @param since when this limit was first observed
   * @param at when this limit was last observed
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

    /** Returns the valid one of this observation and that of another report or response. */
    Observation merge(Observation update) {
      if (update.at.isBefore(at)) {
        return this;
      }
      if (update.limit == limit) {
        return new Observation(limit, since, update.at);
      }
      boolean isTie = update.at.equals(at);
      return isTie && AdvertisedLimit.isStricter(limit, update.limit) ? this : update;
    }
  }

  private AdvertisedLimits(InstantSource clock, String counted) {
    this.clock = clock;
    this.counted = counted;
  }

  /** Returns an empty collection of limits of the requests that upstreams accept. */
  public static AdvertisedLimits create(InstantSource clock) {
    return new AdvertisedLimits(clock, "requests");
  }

  /** Returns an empty collection of limits of the rejections that brittle upstreams bear. */
  public static AdvertisedLimits ofRejections(InstantSource clock) {
    return new AdvertisedLimits(clock, "rejections");
  }

  /** Returns the requests a second that the upstream accepts, empty if it advertises no limit. */
  public OptionalDouble rateOf(String upstream) {
    return limitOf(upstream).stream().mapToDouble(AdvertisedLimit::requestsPerSecond).findFirst();
  }

  /** Returns the limit of the upstream with its age, empty if it advertises none. */
  public Optional<AdvertisedLimit> limitOf(String upstream) {
    return Optional.ofNullable(validObservations.get(upstream))
        .filter(Observation::isLimit)
        .map(observation -> observation.asOf(clock.instant()));
  }

  /**
   * Applies a response that advertises a limit.
   *
   * @param upstream the upstream process that responded: its name, with its start time if known
   * @param requestsPerSecond the requests a second that it accepts from all instances together
   */
  public void advertised(String upstream, double requestsPerSecond) {
    Instant now = clock.instant();
    observe(upstream, new Observation(requestsPerSecond, now, now));
  }

  /**
   * Applies a response that advertises no limit.
   *
   * @param upstream the upstream process that responded
   * @param written when the request was written
   */
  public void notAdvertised(String upstream, Instant written) {
    Observation current = validObservations.get(upstream);
    if (current == null || isEndConfirmed(current)) {
      return;
    }
    observe(upstream, new Observation(AdvertisedLimit.NONE, written, written));
  }

  /** Returns whether the end of a limit was reported long enough to reach every instance. */
  private boolean isEndConfirmed(Observation observation) {
    return !observation.isLimit()
        && observation.since().plus(REPORTED_FOR).isBefore(clock.instant());
  }

  private void observe(String upstream, Observation observation) {
    Observation previous = ownObservations.get(upstream);
    ownObservations.put(upstream, previous == null ? observation : previous.merge(observation));
    apply(upstream, observation, "a response");
  }

  private void apply(String upstream, Observation observation, String source) {
    Observation previous = validObservations.get(upstream);
    Observation updated = previous == null ? observation : previous.merge(observation);
    validObservations.put(upstream, updated);
    boolean isUnchanged =
        previous == null ? !updated.isLimit() : previous.limit() == updated.limit();
    if (!isUnchanged) {
      logger.atInfo().atMostEvery(LOG_PERIOD_MILLIS, TimeUnit.MILLISECONDS).log(
          "upstream %s accepts %s %s, age %d ms, from %s",
          upstream,
          updated.isLimit() ? updated.limit() + " a second of" : "any number of",
          counted,
          Duration.between(updated.at(), clock.instant()).toMillis(),
          source);
    }
  }

  /** Returns the recent observations of this instance, to be reported to others. */
  public Map<String, AdvertisedLimit> observed() {
    Instant now = clock.instant();
    ownObservations
        .values()
        .removeIf(observation -> observation.at().plus(REPORTED_FOR).isBefore(now));
    Map<String, AdvertisedLimit> observed = new TreeMap<>();
    ownObservations.forEach(
        (upstream, observation) -> observed.put(upstream, observation.asOf(now)));
    return observed;
  }

  /** Applies the observations of other instances. */
  public void applyReported(Map<String, AdvertisedLimit> reported) {
    Instant now = clock.instant();
    reported.forEach((upstream, limit) -> apply(upstream, Observation.of(limit, now), "a report"));
  }
}
