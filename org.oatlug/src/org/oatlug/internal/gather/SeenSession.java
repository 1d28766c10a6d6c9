// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.time.Duration;
import java.time.Instant;

/**
 * A session of a service, and where it was seen last. Immutable, thread-safe.
 *
 * <p>Ages are told and not times of day, which differ between instances.
 *
 * @param service the service
 * @param session the number of the session
 * @param version the version of the service that answered it
 * @param ageMillis how long ago that was, in milliseconds
 */
public record SeenSession(String service, long session, String version, long ageMillis) {
  /** More than any session pauses: a day, in milliseconds. */
  private static final long MOST_AGE_MILLIS = 86_400_000L;

  /** Returns a session that was seen at the instant. */
  public static SeenSession at(
      String service, long session, String version, Instant seenAt, Instant now) {
    long age = Math.max(0, Duration.between(seenAt, now).toMillis());
    return new SeenSession(service, session, version, age);
  }

  /** Returns when it was seen, by the clock of whoever was told so now. */
  public Instant seenAt(Instant now) {
    return now.minusMillis(ageMillis);
  }

  /** Returns whether it can be taken in. */
  boolean isSound() {
    return service != null && version != null && ageMillis >= 0 && ageMillis <= MOST_AGE_MILLIS;
  }
}
