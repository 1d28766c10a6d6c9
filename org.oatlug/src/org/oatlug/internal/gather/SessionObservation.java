// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

import java.time.Duration;
import java.time.Instant;

/**
 * Records the version that last answered a session of a service. Immutable, thread-safe.
 *
 * <p>Messages carry ages instead of instants, because the clocks of instances differ.
 *
 * @param service the service
 * @param session the session number
 * @param version the version of the service that answered the session
 * @param ageMillis the time since that answer, in milliseconds
 */
public record SessionObservation(String service, long session, String version, long ageMillis) {
  /** One day in milliseconds, which exceeds the pause of any session. */
  private static final long MAXIMUM_AGE_MILLIS = 86_400_000L;

  /** Returns the record of a session that was observed at {@code seenAt}. */
  public static SessionObservation at(
      String service, long session, String version, Instant seenAt, Instant now) {
    long age = Math.max(0, Duration.between(seenAt, now).toMillis());
    return new SessionObservation(service, session, version, age);
  }

  /** Returns the instant of the observation by the clock of the receiver. */
  public Instant seenAt(Instant now) {
    return now.minusMillis(ageMillis);
  }

  /** Returns whether a record of a peer is valid. */
  boolean isValid() {
    return service != null && version != null && ageMillis >= 0 && ageMillis <= MAXIMUM_AGE_MILLIS;
  }
}
