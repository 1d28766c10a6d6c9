// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Instant;
import java.util.Comparator;

/**
 * The urgency of a request among those that wait. Immutable, thread-safe.
 *
 * @param rank the rank, 0 is the most urgent
 * @param beyondShare whether its workspace is beyond its share of capacity that is short
 * @param retry whether it is a retry that observes the return time of a refusal
 * @param goalEnd the time until which a response has its full value
 * @param latestTimelyStart the latest start with which the response is expected by that time
 */
public record Urgency(
    int rank, boolean beyondShare, boolean retry, Instant goalEnd, Instant latestTimelyStart) {
  /** Creates the urgency of a new request whose workspace is within its share. */
  public Urgency(int rank, Instant goalEnd, Instant latestTimelyStart) {
    this(rank, false, false, goalEnd, latestTimelyStart);
  }

  /**
   * Returns the order in which waiting requests start: by rank; within a rank, those of workspaces
   * within their share first, then retries before new requests, because a retry that is refused
   * again is lost; then requests that can still meet their goal before those that cannot, then by
   * the earlier end of the goal.
   */
  public static Comparator<Urgency> order(Instant now) {
    return Comparator.comparingInt(Urgency::rank)
        .thenComparing(Urgency::beyondShare)
        .thenComparing(urgency -> !urgency.retry())
        .thenComparing(urgency -> now.isAfter(urgency.latestTimelyStart()))
        .thenComparing(Urgency::goalEnd);
  }
}
