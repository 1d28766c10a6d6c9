// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;

/**
 * What an answer of an upstream said of its rate limit, as instances report it to each other.
 * Immutable, thread-safe.
 *
 * <p>Ages are reported and not times of day, which differ between instances.
 *
 * @param requestsPerSecond the requests a second that the upstream accepts from all instances
 *     together, {@link #NONE} if it advertises no limit any more
 * @param ageMillis how long ago that was so, in milliseconds
 */
public record AdvertisedLimit(double requestsPerSecond, long ageMillis) {
  /** Stands for an upstream that advertises no limit. */
  public static final double NONE = -1;

  /** Longer than any observation is reported; with it sums of ages stay exact. */
  private static final long MOST_AGE_MILLIS = Duration.ofHours(1).toMillis();

  /** Returns whether it can be applied. */
  public boolean isSound() {
    boolean isRate = Double.isFinite(requestsPerSecond) && requestsPerSecond >= 0;
    boolean isAge = ageMillis >= 0 && ageMillis <= MOST_AGE_MILLIS;
    return (isRate || requestsPerSecond == NONE) && isAge;
  }

  /** Returns the same some time later. */
  public AdvertisedLimit aged(Duration passed) {
    return new AdvertisedLimit(requestsPerSecond, ageMillis + passed.toMillis());
  }

  /** Returns the newer of two reports of one upstream; of two of the same age the stricter. */
  public static AdvertisedLimit newer(AdvertisedLimit one, AdvertisedLimit two) {
    if (one.ageMillis != two.ageMillis) {
      return one.ageMillis < two.ageMillis ? one : two;
    }
    return isStricter(two.requestsPerSecond, one.requestsPerSecond) ? two : one;
  }

  /** Returns whether a limit accepts less than another one; either may be {@link #NONE}. */
  static boolean isStricter(double limit, double than) {
    return limit != NONE && (than == NONE || limit < than);
  }
}
