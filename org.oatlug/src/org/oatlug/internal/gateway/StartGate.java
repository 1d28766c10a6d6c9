// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Whether an instance that starts knows enough to serve: the configuration, the orders for
 * versions, and, while a version is brought in, the sessions that the others have seen.
 *
 * <p>One that served as soon as it had a configuration would send sessions to the new version
 * before it knew of the order for it. Invariants: it never closes once it is open; it opens {@link
 * #PATIENCE} after the configuration at the latest, so that a fleet that cannot read the orders
 * serves all the same. Owned by one event loop, not thread-safe.
 */
public final class StartGate {
  /** Longer than orders and sessions take to be read from the store or from other instances. */
  private static final Duration PATIENCE = Duration.ofSeconds(3);

  private final InstantSource clock;
  private final BooleanSupplier configured;
  private final BooleanSupplier ordersRead;
  private final BooleanSupplier sessionsKnown;
  private Optional<Instant> configuredAt = Optional.empty();
  private boolean open;

  private StartGate(
      InstantSource clock,
      BooleanSupplier configured,
      BooleanSupplier ordersRead,
      BooleanSupplier sessionsKnown) {
    this.clock = clock;
    this.configured = configured;
    this.ordersRead = ordersRead;
    this.sessionsKnown = sessionsKnown;
  }

  /**
   * Returns a gate that is closed.
   *
   * @param configured whether a configuration is in force
   * @param ordersRead whether all kinds of objects were read
   * @param sessionsKnown whether no version is brought in, or the sessions of others are known
   */
  public static StartGate create(
      InstantSource clock,
      BooleanSupplier configured,
      BooleanSupplier ordersRead,
      BooleanSupplier sessionsKnown) {
    return new StartGate(clock, configured, ordersRead, sessionsKnown);
  }

  /** Returns whether the instance serves. */
  public boolean isOpen() {
    return open;
  }

  /** Looks whether the instance knows enough by now; returns whether that opened the gate. */
  public boolean opens() {
    if (open || !configured.getAsBoolean()) {
      return false;
    }
    Instant now = clock.instant();
    configuredAt = configuredAt.or(() -> Optional.of(now));
    boolean knows = ordersRead.getAsBoolean() && sessionsKnown.getAsBoolean();
    open = knows || now.isAfter(configuredAt.get().plus(PATIENCE));
    return open;
  }
}
