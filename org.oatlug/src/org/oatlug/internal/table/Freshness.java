// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.table;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * How old the newest configuration of this instance can be.
 *
 * <p>Ages travel between instances, never times, because no clock is shared. Invariant: the age
 * only falls when a platform contact is learned of that is younger than the known one. Owned by one
 * event loop, not thread-safe.
 */
public final class Freshness {
  private final Duration bound;
  private Instant contact = Instant.MIN;
  private boolean confirmed = true;

  private Freshness(Duration bound) {
    this.bound = bound;
  }

  /** Returns a freshness without any contact yet. */
  public static Freshness withBound(Duration bound) {
    return new Freshness(bound);
  }

  /** Returns the age above which the configuration is stale. */
  public Duration bound() {
    return bound;
  }

  /** Takes in a platform contact that was {@code age} ago. */
  public void learn(Duration age, Instant now) {
    Instant then = now.minus(age);
    if (then.isAfter(contact)) {
      contact = then;
    }
  }

  /** Returns the age of the last known platform contact, empty if there was none. */
  public Optional<Duration> age(Instant now) {
    if (contact.equals(Instant.MIN)) {
      return Optional.empty();
    }
    return Optional.of(Duration.between(contact, now));
  }

  /** Returns whether the configuration is younger than the bound. */
  public boolean isFresh(Instant now) {
    return age(now).map(known -> known.compareTo(bound) <= 0).orElse(false);
  }

  /** Marks that the process stood still, so that its configuration has to be confirmed first. */
  public void doubt() {
    confirmed = false;
  }

  /** Marks that the configuration was confirmed, or that nobody can be reached to confirm it. */
  public void confirm() {
    confirmed = true;
  }

  /** Returns whether requests may be dispatched. */
  public boolean isConfirmed() {
    return confirmed;
  }
}
