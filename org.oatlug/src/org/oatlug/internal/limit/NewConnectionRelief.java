// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides when an instance reports itself not ready for a while, so that the load balancer gives
 * new connections to instances that have room.
 *
 * <p>Load pattern: a few instances get more new connections than they can accept, while others are
 * well. If many are crowded, there is nowhere to send the connections to, and none steps back.
 *
 * <p>Invariants: relief begins only after {@link #MINIMUM_HOLD} in which connections were held back
 * and only while at most one in {@link #INSTANCES_PER_CROWDED} instances is crowded, by a report
 * that is no older than {@link #REPORT_VALIDITY}; it lasts {@link #DURATION}. Instances that become
 * crowded together know of each other before relief begins. Owned by one event loop, not
 * thread-safe.
 */
public final class NewConnectionRelief {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The time for which connections are held back first: longer than reports of others take. */
  static final Duration MINIMUM_HOLD = Duration.ofSeconds(2);

  /** The time without a held connection after which the instance is no longer crowded. */
  static final Duration HOLD_GAP = Duration.ofMillis(500);

  /** Several times the time in which a load balancer notices a change. */
  static final Duration DURATION = Duration.ofSeconds(10);

  /** The age up to which a report of the other instances counts. */
  static final Duration REPORT_VALIDITY = Duration.ofSeconds(2);

  /** The instances of which one may be crowded, so that the others can bear its connections. */
  static final int INSTANCES_PER_CROWDED = 4;

  private int othersCrowded;
  private Instant reportedAt = Instant.MIN;
  private Optional<Instant> heldSince = Optional.empty();
  private Instant lastHeld = Instant.MIN;
  private Optional<Instant> activeUntil = Optional.empty();

  private NewConnectionRelief() {}

  /** Returns the decision of an instance that is not crowded. */
  public static NewConnectionRelief create() {
    return new NewConnectionRelief();
  }

  /** Applies the number of other instances that are crowded, as reported by them. */
  public void applyReported(int crowded, Instant now) {
    othersCrowded = crowded;
    reportedAt = now;
  }

  /**
   * Updates the decision; called at a regular interval.
   *
   * @param held whether a connection was held back since the last call
   * @param instances the number of instances believed to be alive, including this one
   */
  public void update(boolean held, int instances, Instant now) {
    if (activeUntil.filter(end -> !now.isBefore(end)).isPresent()) {
      activeUntil = Optional.empty();
      heldSince = Optional.empty();
      logger.atInfo().log("ready for new connections again");
    }
    if (held) {
      lastHeld = now;
      heldSince = heldSince.or(() -> Optional.of(now));
    } else if (now.isAfter(lastHeld.plus(HOLD_GAP))) {
      heldSince = Optional.empty();
    }
    if (activeUntil.isEmpty() && mayBegin(instances, now)) {
      activeUntil = Optional.of(now.plus(DURATION));
      logger.atInfo().log(
          "not ready for new connections for %d millis, others crowded=%d instances=%d age=%d",
          DURATION.toMillis(),
          othersCrowded,
          instances,
          Duration.between(reportedAt, now).toMillis());
    }
  }

  private boolean mayBegin(int instances, Instant now) {
    boolean heldLong =
        heldSince.filter(since -> !now.isBefore(since.plus(MINIMUM_HOLD))).isPresent();
    return heldLong
        && !now.isAfter(reportedAt.plus(REPORT_VALIDITY))
        && (othersCrowded + 1) * INSTANCES_PER_CROWDED <= instances;
  }

  /** Returns whether the instance reports itself not ready. */
  public boolean isActive() {
    return activeUntil.isPresent();
  }

  /** Returns whether the instance counts as crowded for others. */
  public boolean isCrowded() {
    return isActive() || heldSince.isPresent();
  }
}
