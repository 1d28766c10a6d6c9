// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.table;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Tracks the maximum age of the configuration of this instance.
 *
 * <p>Instances exchange ages instead of times, because they share no clock. Invariant: the age
 * decreases only when a more recent platform contact becomes known. Owned by one event loop, not
 * thread-safe.
 */
public final class Freshness {
  private final Duration bound;
  private Instant lastContact = Instant.MIN;
  private boolean confirmed = true;

  private Freshness(Duration bound) {
    this.bound = bound;
  }

  /** Returns a tracker without a platform contact. */
  public static Freshness withBound(Duration bound) {
    return new Freshness(bound);
  }

  /** Returns the age above which the configuration is stale. */
  public Duration bound() {
    return bound;
  }

  /** Records a platform contact of this age, made by this instance or by a peer. */
  public void recordContact(Duration age, Instant now) {
    Instant contactTime = now.minus(age);
    if (contactTime.isAfter(lastContact)) {
      lastContact = contactTime;
    }
  }

  /** Returns the age of the last known platform contact, empty if there is none. */
  public Optional<Duration> age(Instant now) {
    if (lastContact.equals(Instant.MIN)) {
      return Optional.empty();
    }
    return Optional.of(Duration.between(lastContact, now));
  }

  /** Returns whether the age of the configuration is within the bound; false without a contact. */
  public boolean isFresh(Instant now) {
    return age(now).map(currentAge -> currentAge.compareTo(bound) <= 0).orElse(false);
  }

  /** Marks the configuration as unconfirmed after the process was paused. */
  public void markUnconfirmed() {
    confirmed = false;
  }

  /**
   * Marks the configuration as confirmed, or as impossible to confirm because no peer is reachable.
   */
  public void confirm() {
    confirmed = true;
  }

  /** Returns whether the configuration is confirmed, so that requests may be dispatched. */
  public boolean isConfirmed() {
    return confirmed;
  }
}
