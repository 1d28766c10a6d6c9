// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.table;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.OptionalLong;
import org.oatlug.internal.util.BoundedMap;
import org.oatlug.internal.util.Hashes;

/**
 * State of one upstream process as observed by one instance.
 *
 * <p>Invariant: {@code inFlight} equals the number of attempts that are reserved and not yet
 * released. A reservation counts in {@code dispatchedSinceReport} until the next load report. Owned
 * by one event loop, not thread-safe.
 */
public final class UpstreamRow {
  private static final int MAXIMUM_PREFIXES = 256;
  private static final int FAILURES_UNTIL_EJECTION = 3;
  private static final Duration EJECTION_TIME = Duration.ofSeconds(5);

  /** Weight of one response in the moving average of failures, which covers about ten responses. */
  private static final double OUTCOME_WEIGHT = 0.15;

  /**
   * Time constant of the decay of the failure share without responses, in milliseconds. A few
   * seconds ensure that the upstream is soon retried.
   */
  private static final double FAILURE_DECAY_MILLIS = 3000;

  private final String name;
  private final long nameHash;
  private OptionalLong startedAtMillis = OptionalLong.empty();
  private String process;
  private Instant coldUntil = Instant.EPOCH;
  private Instant backOffUntil = Instant.EPOCH;
  private final Map<Long, Boolean> prefixes = BoundedMap.withMaximumSize(MAXIMUM_PREFIXES);
  private int inFlight;
  private int reportedRunning;
  private int reportedWaiting;
  private int dispatchedSinceReport;
  private int finishedSinceReport;
  private boolean leaving;
  private int consecutiveFailures;
  private Instant ejectedUntil = Instant.EPOCH;
  private double failureShare;
  private Instant failureShareUpdatedAt = Instant.EPOCH;

  UpstreamRow(String name) {
    this.name = name;
    this.nameHash = Hashes.hash64(name);
    this.process = name;
  }

  /** Returns whether the row is known to belong to a process with a different start time. */
  boolean hasDifferentStart(long millis) {
    return startedAtMillis.isPresent() && startedAtMillis.getAsLong() != millis;
  }

  /** Sets the start time of the process, in milliseconds since 1970. */
  void startedAt(long millis) {
    startedAtMillis = OptionalLong.of(millis);
    process = name + "@" + millis;
  }

  /** Returns the unique id of the process: the name, with the start time if it is known. */
  public String process() {
    return process;
  }

  /** Extends the cold start until this time; a time before the end already set is ignored. */
  public void extendColdStart(Instant end) {
    coldUntil = end.isAfter(coldUntil) ? end : coldUntil;
  }

  /** Extends the back-off until this time; a time before the end already set is ignored. */
  public void extendBackOff(Instant end) {
    backOffUntil = end.isAfter(backOffUntil) ? end : backOffUntil;
  }

  /** Returns the remaining back-off, zero if the upstream accepts requests. */
  public Duration remainingBackOff(Instant now) {
    return now.isBefore(backOffUntil) ? Duration.between(now, backOffUntil) : Duration.ZERO;
  }

  /** Returns whether the upstream requested a back-off that has not ended. */
  public boolean isBackingOff(Instant now) {
    return now.isBefore(backOffUntil);
  }

  /** Returns whether the upstream has a reduced capacity because of its cold start. */
  public boolean isCold(Instant now) {
    return now.isBefore(coldUntil);
  }

  /** Returns the rank of this upstream for a prompt prefix; it is the same at all instances. */
  public long rankFor(long prefix) {
    return Hashes.combine(prefix, nameHash);
  }

  /** Returns the name of the upstream. */
  public String name() {
    return name;
  }

  /** Reserves an attempt that is about to be dispatched. */
  public void reserve() {
    inFlight++;
    dispatchedSinceReport++;
  }

  /** Releases a reservation. */
  public void release() {
    inFlight--;
    finishedSinceReport++;
  }

  /** Returns the load of the last report. */
  int reportedLoad() {
    return reportedRunning + reportedWaiting;
  }

  /** Applies a load report. */
  void report(int running, int waiting, boolean isLeaving) {
    reportedRunning = running;
    reportedWaiting = waiting;
    dispatchedSinceReport = 0;
    finishedSinceReport = 0;
    if (isLeaving) {
      leaving = true;
    }
  }

  /** Records a response that is no failure of the upstream; its status may be a client error. */
  public void recordSuccess(Instant now) {
    consecutiveFailures = 0;
    updateFailureShare(0, now);
  }

  private void updateFailureShare(double failure, Instant now) {
    double previous = failureShare(now);
    failureShare = previous + OUTCOME_WEIGHT * (failure - previous);
    failureShareUpdatedAt = now;
  }

  /**
   * Records a refusal for overload; it wastes an attempt, and so raises the failure share, but is
   * no failure that ejects the upstream.
   */
  public void recordRefusal(Instant now) {
    updateFailureShare(1, now);
  }

  /**
   * Returns the share of failures and refusals among the last responses, 0 to 1; it decays while
   * there are no responses.
   */
  public double failureShare(Instant now) {
    if (failureShare == 0) {
      return 0;
    }
    double age = Duration.between(failureShareUpdatedAt, now).toMillis();
    return failureShare * Math.exp(-Math.max(0, age) / FAILURE_DECAY_MILLIS);
  }

  /** Records a failure; several consecutive failures eject the upstream temporarily. */
  public void recordFailure(Instant now) {
    consecutiveFailures++;
    updateFailureShare(1, now);
    if (consecutiveFailures >= FAILURES_UNTIL_EJECTION) {
      ejectedUntil = now.plus(EJECTION_TIME);
    }
  }

  /**
   * Ejects the upstream because its process has ended; its store entry may remain for some time.
   */
  public void recordCrash(Instant now) {
    ejectedUntil = now.plus(EJECTION_TIME);
  }

  /** Marks the upstream as draining for the lifetime of this row. */
  public void markLeaving() {
    leaving = true;
  }

  /** Records that the upstream received the prompt prefix. */
  public void rememberPrefix(long prefix) {
    prefixes.put(prefix, Boolean.TRUE);
  }

  /** Returns whether the upstream probably has the prompt prefix cached. */
  public boolean hasPrefix(long prefix) {
    return prefixes.containsKey(prefix);
  }

  /** Returns whether the upstream was reported or marked as draining. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Returns whether the upstream is ejected. */
  public boolean isEjected(Instant now) {
    return now.isBefore(ejectedUntil);
  }

  /** Returns the number of open attempts of this instance. */
  public int inFlight() {
    return inFlight;
  }

  /**
   * Returns the reported number of requests, adjusted by the attempts that this instance has
   * dispatched and finished since then; at least the number of its open attempts.
   */
  public int expectedLoad() {
    int lastReport = reportedRunning + reportedWaiting;
    int expected = lastReport + dispatchedSinceReport - finishedSinceReport;
    return Math.max(inFlight, expected);
  }
}
