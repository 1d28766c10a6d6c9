// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.ledger;

import it.unimi.dsi.fastutil.longs.LongOpenHashSet;
import it.unimi.dsi.fastutil.longs.LongSet;
import java.time.Duration;
import java.util.TreeMap;
import org.oatlug.internal.billing.Bill;
import org.oatlug.internal.util.Hashes;

/**
 * The ids that were billed, by the hour of their birth, as 64-bit hashes.
 *
 * <p>A bill has the same birth in all its forms, so its id is looked for in one hour only. Two ids
 * of an hour have the same hash with a probability of {@code n * n / 2^65}: for 300,000 ids an hour
 * once in 46,000 years. Owned by one event loop, not thread-safe.
 */
final class BilledIds {
  private static final long HOUR_MILLIS = Duration.ofHours(1).toMillis();

  private final TreeMap<Long, LongSet> hours = new TreeMap<>();

  /** Adds the bill's id, and returns false if it was there. */
  boolean add(Bill bill) {
    long hour = Math.floorDiv(bill.bornMillis(), HOUR_MILLIS);
    LongSet ids = hours.computeIfAbsent(hour, unused -> new LongOpenHashSet());
    return ids.add(Hashes.hash64(bill.id()));
  }

  /** Forgets the hours that ended before {@code millis}. */
  void forgetBefore(long millis) {
    hours.headMap(Math.floorDiv(millis, HOUR_MILLIS)).clear();
  }

  /** Returns the number of ids. */
  int size() {
    return hours.values().stream().mapToInt(LongSet::size).sum();
  }
}
