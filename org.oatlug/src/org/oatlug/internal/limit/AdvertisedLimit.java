// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;

/**
 * The rate limit that an upstream advertised in a response, as instances exchange it. Immutable,
 * thread-safe.
 *
 * <p>Ages are exchanged rather than times of day, because clocks differ between instances.
 *
 * @param requestsPerSecond the requests a second that the upstream accepts from all instances
 *     together, {@link #NONE} if it no longer advertises a limit
 * @param ageMillis how long ago the limit was observed, in milliseconds
 */
public record AdvertisedLimit(double requestsPerSecond, long ageMillis) {
  /** The rate that stands for an upstream that advertises no limit. */
  public static final double NONE = -1;

  /** Longer than observations are reported; the bound keeps sums of ages exact. */
  private static final long MAXIMUM_AGE_MILLIS = Duration.ofHours(1).toMillis();

  /** Returns whether the values are valid and can be applied. */
  public boolean isSound() {
    boolean isRate = Double.isFinite(requestsPerSecond) && requestsPerSecond >= 0;
    boolean isAge = ageMillis >= 0 && ageMillis <= MAXIMUM_AGE_MILLIS;
    return (isRate || requestsPerSecond == NONE) && isAge;
  }

  /** Returns the same limit with its age increased. */
  public AdvertisedLimit aged(Duration elapsed) {
    return new AdvertisedLimit(requestsPerSecond, ageMillis + elapsed.toMillis());
  }

  /**
   * Returns the newer of two reports on the same upstream, the stricter if their ages are equal.
   */
  public static AdvertisedLimit newer(AdvertisedLimit first, AdvertisedLimit second) {
    if (first.ageMillis != second.ageMillis) {
      return first.ageMillis < second.ageMillis ? first : second;
    }
    return isStricter(second.requestsPerSecond, first.requestsPerSecond) ? second : first;
  }

  /** Returns whether a limit is lower than a reference; either may be {@link #NONE}. */
  static boolean isStricter(double limit, double reference) {
    return limit != NONE && (reference == NONE || limit < reference);
  }
}
