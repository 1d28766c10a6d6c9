// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Measures the lag of an event loop: how long an action waits until the loop runs it.
 *
 * <p>A probe is an action for the next iteration of the loop; its delay is a sample. Connections
 * and requests submit the probes, so nothing is measured, and no loop is woken, while there are
 * none. While the loop lags, a probe follows the other at once: long iterations without a
 * connection would look like idle time. Invariants: at most one probe is pending; at most one
 * sample is kept for each delay in whole milliseconds, and none that is older than {@link
 * #HISTORY}. Owned by one event loop, not thread-safe.
 */
public final class EventLoopDelay {
  /**
   * The time over which the minimum is taken. Longer than most garbage collections and bursts of
   * connections, so that one long iteration is not taken for overload.
   */
  private static final Duration MINIMUM_WINDOW = Duration.ofMillis(200);

  /** The time for which samples are kept. */
  private static final Duration HISTORY = Duration.ofSeconds(5);

  /** The delay that counts as lag: several usual iterations. */
  private static final Duration LAG_THRESHOLD = Duration.ofMillis(20);

  private final InstantSource clock;
  private final Executor eventLoop;
  private final Consumer<Duration> onSample;
  private final Runnable probeAction = this::probeRan;

  /** The samples of the window that no later one is below; the delays increase. */
  private final Deque<Sample> lowest = new ArrayDeque<>();

  /** The samples of the history that no later one is above; the delays decrease. */
  private final Deque<Sample> highest = new ArrayDeque<>();

  private Optional<Instant> pendingSince = Optional.empty();

  /** A delay in milliseconds, and when it ended. */
  private record Sample(Instant endedAt, long millis) {}

  private EventLoopDelay(InstantSource clock, Executor eventLoop, Consumer<Duration> onSample) {
    this.clock = clock;
    this.eventLoop = eventLoop;
    this.onSample = onSample;
  }

  /**
   * Returns a measurement without samples.
   *
   * @param eventLoop runs an action in the next iteration of the event loop
   * @param onSample called with each sample
   */
  public static EventLoopDelay create(
      InstantSource clock, Executor eventLoop, Consumer<Duration> onSample) {
    return new EventLoopDelay(clock, eventLoop, onSample);
  }

  /** Submits a probe unless one is pending. */
  public void probe() {
    if (pendingSince.isEmpty()) {
      pendingSince = Optional.of(clock.instant());
      eventLoop.execute(probeAction);
    }
  }

  private void probeRan() {
    Instant now = clock.instant();
    Duration delay = Duration.between(pendingSince.orElse(now), now);
    pendingSince = Optional.empty();
    record(delay, now);
    onSample.accept(delay);
    if (delay.compareTo(LAG_THRESHOLD) >= 0) {
      probe();
    }
  }

  /**
   * Records a delay that was observed otherwise, such as that of a timer. It counts in the maximum
   * only, since a timer that is on time shows nothing about the load.
   */
  public void recordTimerDelay(Duration delay) {
    if (delay.toMillis() > 0) {
      recordHighest(new Sample(clock.instant(), delay.toMillis()));
    }
  }

  private void record(Duration delay, Instant now) {
    Sample sample = new Sample(now, delay.toMillis());
    while (!lowest.isEmpty() && lowest.peekLast().millis() >= sample.millis()) {
      lowest.removeLast();
    }
    lowest.addLast(sample);
    recordHighest(sample);
  }

  private void recordHighest(Sample sample) {
    while (!highest.isEmpty() && highest.peekLast().millis() <= sample.millis()) {
      highest.removeLast();
    }
    highest.addLast(sample);
    removeBefore(highest, sample.endedAt().minus(HISTORY));
  }

  private static void removeBefore(Deque<Sample> samples, Instant start) {
    while (!samples.isEmpty() && samples.peekFirst().endedAt().isBefore(start)) {
      samples.removeFirst();
    }
  }

  /**
   * Returns the minimum of the delays that ended within the last 200 ms. If none did, it is the age
   * of a probe that has been pending for all of this time, otherwise zero.
   */
  public Duration minimumDelay(Instant now) {
    removeBefore(lowest, now.minus(MINIMUM_WINDOW));
    if (!lowest.isEmpty()) {
      return Duration.ofMillis(lowest.peekFirst().millis());
    }
    Duration age = pendingAge(now);
    return age.compareTo(MINIMUM_WINDOW) >= 0 ? age : Duration.ZERO;
  }

  /**
   * Returns the maximum of the delays that ended at or after the time, and of the age of a pending
   * probe; zero if there are none. Delays that ended over 5 s ago are not included.
   */
  public Duration maximumSince(Instant start) {
    Duration maximum = pendingAge(clock.instant());
    for (Sample sample : highest) {
      if (!sample.endedAt().isBefore(start)) {
        Duration delay = Duration.ofMillis(sample.millis());
        return delay.compareTo(maximum) > 0 ? delay : maximum;
      }
    }
    return maximum;
  }

  private Duration pendingAge(Instant now) {
    return pendingSince.map(since -> Duration.between(since, now)).orElse(Duration.ZERO);
  }
}
