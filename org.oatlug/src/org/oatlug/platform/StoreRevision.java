// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.platform;

import java.util.Comparator;

/**
 * Revision of the store. Immutable.
 *
 * <p>Numbers increase with every write, but only within an epoch: a store that is restored from a
 * copy begins a new epoch and reuses the numbers that follow that of the copy. So numbers are never
 * compared without their epochs.
 *
 * @param epoch the epoch of the store, which increases with each restore; {@link
 *     StoreEpoch#UNREPORTED} if the store does not report it
 * @param number the number of the write within the epoch
 */
public record StoreRevision(long epoch, long number) implements Comparable<StoreRevision> {
  /** The revision before any write. */
  public static final StoreRevision NONE = new StoreRevision(StoreEpoch.UNREPORTED, 0);

  private static final Comparator<StoreRevision> ORDER =
      Comparator.comparingLong(StoreRevision::epoch).thenComparingLong(StoreRevision::number);

  /** Returns a revision of a store that does not report an epoch. */
  public static StoreRevision ofNumber(long number) {
    return new StoreRevision(StoreEpoch.UNREPORTED, number);
  }

  @Override
  public int compareTo(StoreRevision other) {
    return ORDER.compare(this, other);
  }

  /** Returns whether this revision is later than the other one. */
  public boolean isAfter(StoreRevision other) {
    return compareTo(other) > 0;
  }

  // Written out for the same reason as those of StoredObject.
  @Override
  public boolean equals(Object other) {
    return other instanceof StoreRevision revision
        && epoch == revision.epoch
        && number == revision.number;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(epoch) * 31 + Long.hashCode(number);
  }

  /** Returns the epoch and the number, the number alone if there is no epoch. */
  @Override
  public String toString() {
    return epoch == StoreEpoch.UNREPORTED ? Long.toString(number) : epoch + "/" + number;
  }
}
