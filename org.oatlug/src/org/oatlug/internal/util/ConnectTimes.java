// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Measures how much longer than usual connections of this instance take to open.
 *
 * <p>Connects to different targets share only the link and the processor of this instance. If all
 * of them take long while responses arrive, the instance itself is short of one of these; if some
 * open in their usual time, those that do not have another cause. If none opens, more targets are
 * needed, and responses have to arrive from each service concerned, because one of them may be
 * lost.
 *
 * <p>Invariants: at most {@link #MAXIMUM_SAMPLES} ended connects are kept, none older than {@link
 * #HISTORY}, those that are pending, and one time per service. Owned by one event loop, not
 * thread-safe.
 */
public final class ConnectTimes {
  /** The time for which connects are kept, longer than any timeout that they excuse. */
  private static final Duration HISTORY = Duration.ofSeconds(5);

  private static final int MAXIMUM_SAMPLES = 512;

  /** The time over which the current delay is the minimum: longer than most bursts. */
  private static final Duration CURRENT_WINDOW = Duration.ofMillis(300);

  /** The period after which an older usual time expires, because routes to upstreams change. */
  private static final Duration USUAL_WINDOW = Duration.ofSeconds(30);

  /** The age from which a pending connect is slow: many round trips between zones. */
  private static final Duration SLOW_PENDING = Duration.ofMillis(50);

  /** A single target may be slow by itself. */
  private static final int MINIMUM_TARGETS = 2;

  /** While no connect opens, a few targets may have crashed together. */
  private static final int MINIMUM_UNOPENED_TARGETS = 4;

  private final InstantSource clock;
  private final Deque<Sample> samples = new ArrayDeque<>();
  private final Set<Connect> pending = new LinkedHashSet<>();
  private final Map<String, Instant> lastReceived = new HashMap<>();
  private Instant lastReceivedOfAll = Instant.EPOCH;
  private Instant usualSince = Instant.EPOCH;
  private long usualMillis = Long.MAX_VALUE;
  private long previousUsualMillis = Long.MAX_VALUE;

  /** A connect that ended. */
  private record Sample(
      String service, String target, Instant endedAt, long millis, boolean opened) {}

  private ConnectTimes(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns a measurement without samples. */
  public static ConnectTimes create(InstantSource clock) {
    return new ConnectTimes(clock);
  }

  /** Records that a connect to a target of a service begins. */
  public Connect begin(String service, String target) {
    Connect connect = new Connect(service, target, clock.instant());
    pending.add(connect);
    return connect;
  }

  private void recordUsual(long millis, Instant now) {
    if (now.isAfter(usualSince.plus(USUAL_WINDOW))) {
      previousUsualMillis = usualMillis;
      usualMillis = Long.MAX_VALUE;
      usualSince = now;
    }
    usualMillis = Math.min(usualMillis, millis);
  }

  /** Records that bytes of a response of the service were received. */
  public void recordReceived(String service) {
    lastReceivedOfAll = clock.instant();
    lastReceived.put(service, lastReceivedOfAll);
  }

  private boolean hasReceivedSince(String service, Instant start) {
    return !lastReceived.getOrDefault(service, Instant.EPOCH).isBefore(start);
  }

  private void add(Sample sample) {
    samples.addLast(sample);
    Instant oldest = sample.endedAt().minus(HISTORY);
    while (samples.size() > MAXIMUM_SAMPLES || samples.peekFirst().endedAt().isBefore(oldest)) {
      samples.removeFirst();
    }
  }

  /** Returns the time in which connections usually open, zero if none has opened. */
  public Duration usual() {
    long millis = Math.min(usualMillis, previousUsualMillis);
    return millis == Long.MAX_VALUE ? Duration.ZERO : Duration.ofMillis(millis);
  }

  /** Returns the time since bytes of a response were last received. */
  public Duration sinceReceived() {
    return Duration.between(lastReceivedOfAll, clock.instant());
  }

  /**
   * Returns by how much each connect that ended since a time exceeded the usual time at least; zero
   * if connects to too few targets were slow, or if no response was received since, in which case
   * the network may have been partitioned.
   */
  public Duration delaySince(Instant start) {
    return lastReceivedOfAll.isBefore(start) ? Duration.ZERO : minimumExcessSince(start);
  }

  /** Returns the current delay, zero if connects to too few targets were slow. */
  public Duration currentDelay() {
    return delaySince(clock.instant().minus(CURRENT_WINDOW));
  }

  private Duration minimumExcessSince(Instant start) {
    long minimumMillis = Long.MAX_VALUE;
    Set<String> targets = new HashSet<>();
    Set<String> services = new HashSet<>();
    boolean anyOpened = false;
    Iterator<Sample> newestFirst = samples.descendingIterator();
    while (newestFirst.hasNext()) {
      Sample sample = newestFirst.next();
      if (sample.endedAt().isBefore(start)) {
        break;
      }
      minimumMillis = Math.min(minimumMillis, sample.millis());
      targets.add(sample.target());
      services.add(sample.service());
      anyOpened |= sample.opened();
    }
    int minimumTargets = anyOpened ? MINIMUM_TARGETS : MINIMUM_UNOPENED_TARGETS;
    if (minimumMillis == Long.MAX_VALUE || !reaches(targets, minimumTargets)) {
      return Duration.ZERO;
    }
    if (!anyOpened && !services.stream().allMatch(service -> hasReceivedSince(service, start))) {
      return Duration.ZERO;
    }
    return Duration.ofMillis(Math.max(0, minimumMillis - usual().toMillis()));
  }

  /**
   * Adds the targets of slow pending connects as far as necessary; returns whether they suffice.
   */
  private boolean reaches(Set<String> targets, int count) {
    Instant slowBefore = clock.instant().minus(SLOW_PENDING);
    for (Connect connect : pending) {
      if (targets.size() >= count || connect.startedAt.isAfter(slowBefore)) {
        break;
      }
      targets.add(connect.target);
    }
    return targets.size() >= count;
  }

  /** An attempt to open a connection; it ends once, later calls have no effect. */
  public final class Connect {
    private final String service;
    private final String target;
    private final Instant startedAt;

    private Connect(String service, String target, Instant startedAt) {
      this.service = service;
      this.target = target;
      this.startedAt = startedAt;
    }

    /** Records that the connection has opened. */
    public void opened() {
      if (pending.remove(this)) {
        Instant now = clock.instant();
        long millis = millisUntil(now);
        recordUsual(millis, now);
        add(new Sample(service, target, now, millis, true));
      }
    }

    /** Records that the connection did not open within its timeout. */
    public void timedOut() {
      if (pending.remove(this)) {
        Instant now = clock.instant();
        add(new Sample(service, target, now, millisUntil(now), false));
      }
    }

    /** Records that the attempt ended otherwise, which tells nothing about its duration. */
    public void abandoned() {
      pending.remove(this);
    }

    private long millisUntil(Instant now) {
      return Duration.between(startedAt, now).toMillis();
    }
  }
}
