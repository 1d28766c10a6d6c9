// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.oatlug.test.VirtualTime;

/**
 * Models in virtual time one instance to which a load balancer sends more new connections than it
 * can serve.
 *
 * <p>All work of the instance passes one resource in the order of arrival: its link, where reading
 * a request takes most of the time, or its processor, where serving it does. Callers that are not
 * connected within a second return at once until their deadline. Not thread-safe.
 */
final class CrowdedInstance {
  static final Duration RUN_TIME = Duration.ofSeconds(14);
  private static final Duration GOAL = Duration.ofMillis(500);
  private static final Duration DEADLINE = Duration.ofSeconds(4);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration UPSTREAM_TIME = Duration.ofMillis(100);
  private static final Duration TICK = Duration.ofMillis(100);
  private static final int BACKLOG = 8;

  private final VirtualTime time = new VirtualTime();
  private final AcceptWindow window = AcceptWindow.create(time);
  private final ConcurrencyLimit limit = ConcurrencyLimit.create();
  private final Deque<Attempt> backlog = new ArrayDeque<>();
  private final boolean limited;
  private final Duration readCost;
  private final Duration serveCost;
  private final Duration upstreamTime;
  private Instant freeAt = time.instant();
  private Instant lastAccepted = time.instant();
  private Duration longestWaitForAccept = Duration.ZERO;
  private int read;
  private int served;
  private int servedInTime;

  /** A try of a caller. */
  private final class Attempt {
    private final Instant firstTry;
    private boolean accepted;

    Attempt(Instant firstTry) {
      this.firstTry = firstTry;
    }

    boolean isPast(Duration part) {
      return time.instant().isAfter(firstTry.plus(part));
    }
  }

  /**
   * Creates an idle instance.
   *
   * @param limited whether it limits the connections that it accepts
   * @param perSecond the requests that it can serve in a second
   * @param readShare the share of the time of a request that reading it takes
   */
  CrowdedInstance(boolean limited, double perSecond, double readShare) {
    this(limited, perSecond, readShare, UPSTREAM_TIME);
  }

  /**
   * Creates an idle instance.
   *
   * @param limited whether it limits the connections that it accepts
   * @param perSecond the requests that it can serve in a second
   * @param readShare the share of the time of a request that reading it takes
   * @param upstreamTime the time that upstreams take for a request
   */
  CrowdedInstance(boolean limited, double perSecond, double readShare, Duration upstreamTime) {
    this.limited = limited;
    this.upstreamTime = upstreamTime;
    this.readCost = Duration.ofNanos((long) (1e9 / perSecond * readShare));
    this.serveCost = Duration.ofNanos((long) (1e9 / perSecond * (1 - readShare)));
  }

  /** Lets callers connect at a rate for {@link #RUN_TIME}. */
  CrowdedInstance run(double arrivalsPerSecond) {
    int arrivals = (int) (RUN_TIME.toSeconds() * arrivalsPerSecond);
    for (int index = 0; index < arrivals; index++) {
      time.after(RUN_TIME.multipliedBy(index).dividedBy(arrivals), () -> connect(time.instant()));
    }
    for (Duration at = TICK; at.compareTo(RUN_TIME) <= 0; at = at.plus(TICK)) {
      time.after(at, this::tick);
    }
    time.run(RUN_TIME);
    return this;
  }

  private void tick() {
    if (limited) {
      Duration delay = Duration.between(time.instant(), freeAt);
      window.setLimit(
          limit.adjust(
              delay.isNegative() ? Duration.ZERO : delay,
              ConcurrencyLimit.boundFor(GOAL),
              window.occupied()));
    }
    acceptWaiting();
  }

  private void connect(Instant firstTry) {
    Attempt attempt = new Attempt(firstTry);
    if (!limited || backlog.size() < BACKLOG) {
      backlog.addLast(attempt);
      acceptWaiting();
    }
    time.after(CONNECT_TIMEOUT, () -> giveUpConnecting(attempt));
  }

  private void giveUpConnecting(Attempt attempt) {
    if (!attempt.accepted) {
      backlog.remove(attempt);
      returnAtOnce(attempt);
    }
  }

  private void returnAtOnce(Attempt attempt) {
    if (!attempt.isPast(DEADLINE)) {
      connect(attempt.firstTry);
    }
  }

  private void acceptWaiting() {
    while (!backlog.isEmpty()) {
      Optional<AcceptWindow.Permit> permit = window.tryAcquire();
      if (permit.isEmpty()) {
        return;
      }
      Duration wait = Duration.between(lastAccepted, time.instant());
      longestWaitForAccept = wait.compareTo(longestWaitForAccept) > 0 ? wait : longestWaitForAccept;
      lastAccepted = time.instant();
      window.recordAccepted();
      Attempt attempt = backlog.removeFirst();
      attempt.accepted = true;
      read++;
      occupy(readCost, () -> serve(attempt, permit.get()));
    }
    lastAccepted = time.instant();
  }

  /** Uses the resource after all that was begun before. */
  private void occupy(Duration cost, Runnable next) {
    Instant now = time.instant();
    freeAt = (freeAt.isAfter(now) ? freeAt : now).plus(cost);
    time.after(Duration.between(now, freeAt), next);
  }

  private void serve(Attempt attempt, AcceptWindow.Permit permit) {
    permit.release();
    acceptWaiting();
    if (!attempt.isPast(DEADLINE)) {
      time.after(upstreamTime, () -> occupy(serveCost, () -> end(attempt)));
    }
  }

  private void end(Attempt attempt) {
    if (!attempt.isPast(DEADLINE)) {
      served++;
      servedInTime += attempt.isPast(GOAL) ? 0 : 1;
    }
  }

  /** Returns the share of the requests that were read and served before their deadline. */
  double shareOfRead() {
    return (double) served / Math.max(1, read);
  }

  int served() {
    return served;
  }

  int servedInTime() {
    return servedInTime;
  }

  /** Returns the longest time in which callers waited and none was accepted. */
  Duration longestWaitForAccept() {
    return longestWaitForAccept;
  }

  @Override
  public String toString() {
    return "read %d, served %d, in time %d, longest wait %s"
        .formatted(read, served, servedInTime, longestWaitForAccept);
  }
}
