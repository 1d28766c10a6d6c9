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
 * What one instance knows of one upstream, which is one start of a process.
 *
 * <p>Invariant: {@code inFlight} equals the attempts that were reserved and not yet released. A
 * reservation counts into {@code dispatchedSinceReport} until the next load report. Owned by one
 * event loop, not thread-safe.
 */
public final class UpstreamRow {
  private static final int REMEMBERED_PREFIXES = 256;
  private static final int EJECT_AFTER_FAILURES = 3;
  private static final Duration EJECT_FOR = Duration.ofSeconds(5);

  /** The weight of one answer in the share of failures: the last ten or so count. */
  private static final double OUTCOME_WEIGHT = 0.15;

  /**
   * After this time without an answer a share of failures counts for about a third, in
   * milliseconds: seconds, so that the upstream is soon tried again.
   */
  private static final double FAILURES_FADE_MILLIS = 3000;

  private final String name;
  private final long nameHash;
  private OptionalLong startedAtMillis = OptionalLong.empty();
  private String process;
  private Instant coldUntil = Instant.EPOCH;
  private Instant restUntil = Instant.EPOCH;
  private final Map<Long, Boolean> prefixes = BoundedMap.ofMost(REMEMBERED_PREFIXES);
  private int inFlight;
  private int reportedRunning;
  private int reportedWaiting;
  private int dispatchedSinceReport;
  private int finishedSinceReport;
  private boolean leaving;
  private int failuresInRow;
  private Instant ejectedUntil = Instant.EPOCH;
  private double failureShare;
  private Instant failureShareAt = Instant.EPOCH;

  UpstreamRow(String name) {
    this.name = name;
    this.nameHash = Hashes.hash64(name);
    this.process = name;
  }

  /** Returns whether the row is known to be of another start than this. */
  boolean isOfAnotherStart(long millis) {
    return startedAtMillis.isPresent() && startedAtMillis.getAsLong() != millis;
  }

  /** Takes in when the process started. */
  void startedAt(long millis) {
    startedAtMillis = OptionalLong.of(millis);
    process = name + "@" + millis;
  }

  /** Returns the name with the start, if that is known: no other process has the same. */
  public String process() {
    return process;
  }

  /** Takes in that the upstream is cold up to a moment; a later one counts. */
  public void coldUntil(Instant moment) {
    coldUntil = moment.isAfter(coldUntil) ? moment : coldUntil;
  }

  /** Takes in that the upstream wants nothing up to a moment; a later one counts. */
  public void restUntil(Instant moment) {
    restUntil = moment.isAfter(restUntil) ? moment : restUntil;
  }

  /** Returns for how much longer the upstream wants nothing, zero if it takes requests. */
  public Duration restLeft(Instant now) {
    return now.isBefore(restUntil) ? Duration.between(now, restUntil) : Duration.ZERO;
  }

  /** Returns whether the upstream wants nothing now. */
  public boolean isResting(Instant now) {
    return now.isBefore(restUntil);
  }

  /** Returns whether the upstream bears few requests now, because it is cold. */
  public boolean isCold(Instant now) {
    return now.isBefore(coldUntil);
  }

  /** Returns the rank of this upstream for a prompt prefix, the same at every instance. */
  public long rankFor(long prefix) {
    return Hashes.combine(prefix, nameHash);
  }

  /** Returns the name of the upstream. */
  public String name() {
    return name;
  }

  /** Counts an attempt that is about to be dispatched. */
  public void reserve() {
    inFlight++;
    dispatchedSinceReport++;
  }

  /** Ends a reservation. */
  public void release() {
    inFlight--;
    finishedSinceReport++;
  }

  /** Returns the load of the last report. */
  int reportedLoad() {
    return reportedRunning + reportedWaiting;
  }

  /** Takes in a load report. */
  void report(int running, int waiting, boolean nowLeaving) {
    reportedRunning = running;
    reportedWaiting = waiting;
    dispatchedSinceReport = 0;
    finishedSinceReport = 0;
    if (nowLeaving) {
      leaving = true;
    }
  }

  /** Takes in an answer that is no failure. */
  public void succeeded(Instant now) {
    failuresInRow = 0;
    noteOutcome(0, now);
  }

  private void noteOutcome(double failure, Instant now) {
    double before = failureShare(now);
    failureShare = before + OUTCOME_WEIGHT * (failure - before);
    failureShareAt = now;
  }

  /** Takes in that the upstream refused a request for its load: no failure, but of no use. */
  public void refused(Instant now) {
    noteOutcome(1, now);
  }

  /**
   * Returns the share of failures and refusals among the last answers; it fades while nothing is
   * known.
   */
  public double failureShare(Instant now) {
    double age = Duration.between(failureShareAt, now).toMillis();
    return failureShare * Math.exp(-Math.max(0, age) / FAILURES_FADE_MILLIS);
  }

  /** Takes in a failure; several in a row keep the upstream out for a while. */
  public void failed(Instant now) {
    failuresInRow++;
    noteOutcome(1, now);
    if (failuresInRow >= EJECT_AFTER_FAILURES) {
      ejectedUntil = now.plus(EJECT_FOR);
    }
  }

  /** Takes in that the process has ended; its entry may stand for a while. */
  public void ended(Instant now) {
    ejectedUntil = now.plus(EJECT_FOR);
  }

  /** Marks that the upstream said it is leaving; it stays so under this name. */
  public void markLeaving() {
    leaving = true;
  }

  /** Remembers that the upstream has seen the prompt prefix. */
  public void rememberPrefix(long prefix) {
    prefixes.put(prefix, Boolean.TRUE);
  }

  /** Returns whether the upstream has probably cached the prompt prefix. */
  public boolean hasPrefix(long prefix) {
    return prefixes.containsKey(prefix);
  }

  /** Returns whether the upstream said it is leaving. */
  public boolean leaving() {
    return leaving;
  }

  /** Returns whether the upstream is kept out after failures. */
  public boolean ejected(Instant now) {
    return now.isBefore(ejectedUntil);
  }

  /** Returns the attempts of this instance that are open. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the requests at the upstream as known: reported, plus own changes since. */
  public int expectedLoad() {
    int reported = reportedRunning + reportedWaiting;
    int expected = reported + dispatchedSinceReport - finishedSinceReport;
    return Math.max(inFlight, expected);
  }
}
