// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Delays serving until a starting instance has loaded the configuration, the version orders, the
 * crashes that the other instances have recorded and, during a roll-out, the sessions that they
 * have seen.
 *
 * <p>An instance that served as soon as it had a configuration would send sessions to the new
 * version before it had read the order for that version, and prompts to upstreams that the others
 * refuse because they crash these. Invariants: the gate never closes once it is open; it opens at
 * the latest {@link #MAXIMUM_WAIT} after the configuration is in force, so that a fleet that cannot
 * read the orders still serves. Owned by one event loop, not thread-safe.
 */
public final class ReadinessGate {
  /** Exceeds the time to read orders and sessions from the store or from other instances. */
  private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(3);

  private final InstantSource clock;
  private final BooleanSupplier configured;
  private final BooleanSupplier objectsRead;
  private final BooleanSupplier sessionsKnown;
  private final BooleanSupplier crashesKnown;
  private Optional<Instant> configuredAt = Optional.empty();
  private boolean open;

  private ReadinessGate(
      InstantSource clock,
      BooleanSupplier configured,
      BooleanSupplier objectsRead,
      BooleanSupplier sessionsKnown,
      BooleanSupplier crashesKnown) {
    this.clock = clock;
    this.configured = configured;
    this.objectsRead = objectsRead;
    this.sessionsKnown = sessionsKnown;
    this.crashesKnown = crashesKnown;
  }

  /**
   * Returns a closed gate.
   *
   * @param configured whether a configuration is in force
   * @param objectsRead whether all kinds of objects have been read
   * @param sessionsKnown whether no roll-out is running or the sessions of other instances are
   *     known
   * @param crashesKnown whether it is known what crashed upstreams of the other instances
   */
  public static ReadinessGate create(
      InstantSource clock,
      BooleanSupplier configured,
      BooleanSupplier objectsRead,
      BooleanSupplier sessionsKnown,
      BooleanSupplier crashesKnown) {
    return new ReadinessGate(clock, configured, objectsRead, sessionsKnown, crashesKnown);
  }

  /** Returns whether the instance may serve. */
  public boolean isOpen() {
    return open;
  }

  /** Checks the conditions and returns whether this call opened the gate. */
  public boolean tryOpen() {
    if (open || !configured.getAsBoolean()) {
      return false;
    }
    Instant now = clock.instant();
    configuredAt = configuredAt.or(() -> Optional.of(now));
    boolean loaded =
        objectsRead.getAsBoolean() && sessionsKnown.getAsBoolean() && crashesKnown.getAsBoolean();
    open = loaded || now.isAfter(configuredAt.get().plus(MAXIMUM_WAIT));
    return open;
  }
}
